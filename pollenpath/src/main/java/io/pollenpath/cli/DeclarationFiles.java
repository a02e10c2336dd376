package io.pollenpath.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.MappingIterator;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import io.pollenpath.protocol.ApiObject;
import io.pollenpath.protocol.DeclarationRules;
import io.pollenpath.util.ValidationErrors;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** Reads and checks the declarations of a file or directory. */
final class DeclarationFiles {

    private static final YAMLMapper MAPPER =
            new YAMLMapper(
                    YAMLFactory.builder()
                            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                            .build());

    private final ValidationErrors errors;
    private final List<Declaration> declarations = new ArrayList<>();

    private DeclarationFiles(ValidationErrors errors) {
        this.errors = errors;
    }

    /** Reads every declaration in order of file name and adds an error for each invalid one. */
    static List<Declaration> read(Path path, ValidationErrors errors) throws IOException {
        DeclarationFiles reader = new DeclarationFiles(errors);
        List<Path> files = files(path);
        errors.addIf(files.isEmpty(), path + " has no .yaml file; add one");
        for (Path file : files) {
            reader.readFile(file);
        }
        DeclarationSets.check(reader.declarations, errors);
        return reader.declarations;
    }

    private static List<Path> files(Path path) throws IOException {
        if (!Files.isDirectory(path)) {
            return List.of(path);
        }
        try (Stream<Path> children = Files.walk(path)) {
            return children.filter(Files::isRegularFile)
                    .filter(p -> p.toString().matches(".*\\.ya?ml"))
                    .sorted()
                    .toList();
        }
    }

    private void readFile(Path file) throws IOException {
        int documentNumber = 0;
        try (MappingIterator<JsonNode> documents =
                MAPPER.readerFor(JsonNode.class).readValues(file.toFile())) {
            while (documents.hasNextValue()) {
                documentNumber++;
                addDeclaration(file + " document " + documentNumber, documents.nextValue());
            }
        } catch (JsonProcessingException e) {
            errors.add(file + ": " + oneLine(e.getOriginalMessage()) + "; correct the YAML");
        }
    }

    private static String oneLine(String message) {
        return message.lines().map(String::strip).collect(Collectors.joining(" "));
    }

    private void addDeclaration(String source, JsonNode node) {
        if (node == null || node.isNull() || node.isMissingNode()) {
            return;
        }
        ValidationErrors found = new ValidationErrors();
        DeclarationRules.check(node, found);
        found.messages().forEach(message -> errors.add(source + ": " + message));
        if (found.isEmpty()) {
            declarations.add(new Declaration(source, ApiObject.fromJson(node)));
        }
    }
}
