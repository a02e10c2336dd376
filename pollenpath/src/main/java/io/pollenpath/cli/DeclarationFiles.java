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

    private final ValidationErrors faults;
    private final List<Declaration> declarations = new ArrayList<>();

    private DeclarationFiles(ValidationErrors faults) {
        this.faults = faults;
    }

    /** Reads every declaration, in order of file name; all that is wrong goes to the faults. */
    static List<Declaration> read(Path path, ValidationErrors faults) throws IOException {
        DeclarationFiles reader = new DeclarationFiles(faults);
        List<Path> files = files(path);
        faults.addIf(files.isEmpty(), path + " has no .yaml file; add one");
        for (Path file : files) {
            reader.readFile(file);
        }
        DeclarationSets.check(reader.declarations, faults);
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
        int document = 0;
        try (MappingIterator<JsonNode> nodes =
                MAPPER.readerFor(JsonNode.class).readValues(file.toFile())) {
            while (nodes.hasNextValue()) {
                document++;
                take(file + " document " + document, nodes.nextValue());
            }
        } catch (JsonProcessingException e) {
            faults.add(file + ": " + oneLine(e.getOriginalMessage()) + "; mend the YAML");
        }
    }

    private static String oneLine(String message) {
        return message.lines().map(String::strip).collect(Collectors.joining(" "));
    }

    private void take(String source, JsonNode node) {
        if (node == null || node.isNull() || node.isMissingNode()) {
            return;
        }
        ValidationErrors found = new ValidationErrors();
        DeclarationRules.check(node, found);
        found.messages().forEach(message -> faults.add(source + ": " + message));
        if (found.isEmpty()) {
            declarations.add(new Declaration(source, ApiObject.fromJson(node)));
        }
    }
}
