package io.pollenpath.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLGenerator;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import io.pollenpath.protocol.ApiObject;
import io.pollenpath.util.Json;

/** Formats objects as YAML, which can be applied again, or as JSON. */
final class ObjectFormatter {

    private static final YAMLMapper YAML =
            YAMLMapper.builder()
                    .enable(YAMLGenerator.Feature.MINIMIZE_QUOTES)
                    .enable(YAMLGenerator.Feature.ALWAYS_QUOTE_NUMBERS_AS_STRINGS)
                    .build();

    private ObjectFormatter() {}

    /** Returns a YAML document that starts with a separator. */
    static String yaml(ApiObject object) {
        try {
            return YAML.writeValueAsString(printableJson(object));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a JSON tree is always writable", e);
        }
    }

    /** Returns JSON on one line. */
    static String json(ApiObject object) {
        return Json.text(printableJson(object));
    }

    private static ObjectNode printableJson(ApiObject object) {
        ObjectNode node = object.toJson();
        if (object.status().isEmpty()) {
            node.remove("status");
        }
        return node;
    }
}
