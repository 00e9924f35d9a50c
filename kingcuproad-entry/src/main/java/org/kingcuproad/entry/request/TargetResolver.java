package org.kingcuproad.entry.request;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.kingcuproad.model.EnvironmentDocument;
import org.kingcuproad.model.ErrorKind;
import org.kingcuproad.model.KingcuproadException;
import org.kingcuproad.model.Model;
import org.kingcuproad.model.Route;
import org.kingcuproad.model.Service;

/** Resolves the model or service that a request is for, from its path and body and the environment document. */
public final class TargetResolver {

    /** Path of model requests. */
    public static final String CHAT_COMPLETIONS = "/v1/chat/completions";

    private static final int DEFAULT_MAX_TOKENS = 256;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private TargetResolver() {}

    /**
     * Resolves the target of a request.
     *
     * @param document the environment document in force
     * @param method HTTP method
     * @param path path without the query
     * @param body request body
     * @return the target
     * @throws KingcuproadException if the request is malformed or no model or route matches it
     */
    public static Target resolve(EnvironmentDocument document, String method, String path, byte[] body)
            throws KingcuproadException {
        if (path.equals(CHAT_COMPLETIONS)) {
            return resolveModel(document, method, body);
        }
        return resolveService(document, method, path);
    }

    private static Target resolveModel(EnvironmentDocument document, String method, byte[] body)
            throws KingcuproadException {
        if (!method.equals("POST")) {
            throw new KingcuproadException(ErrorKind.BAD_REQUEST, CHAT_COMPLETIONS + " takes POST, not " + method);
        }
        JsonNode request = parse(body);
        String name = request.path("model").asText();
        if (name.isEmpty()) {
            throw new KingcuproadException(ErrorKind.BAD_REQUEST, "member \"model\" is missing");
        }
        if (!request.path("messages").isArray()) {
            throw new KingcuproadException(ErrorKind.BAD_REQUEST, "member \"messages\" must be an array");
        }
        Model model = document.models().stream()
                .filter(candidate -> candidate.name().equals(name))
                .findFirst()
                .orElseThrow(() -> new KingcuproadException(ErrorKind.NOT_FOUND, "no model named \"" + name + "\""));
        byte[] prompt = request.path("messages").toString().getBytes(StandardCharsets.UTF_8);
        return new Target.ModelTarget(model, prompt, request.path("max_tokens").asInt(DEFAULT_MAX_TOKENS));
    }

    private static JsonNode parse(byte[] body) throws KingcuproadException {
        try {
            JsonNode request = MAPPER.readTree(body);
            if (request == null || !request.isObject()) {
                throw new KingcuproadException(ErrorKind.BAD_REQUEST, "the body must be a JSON object");
            }
            return request;
        } catch (IOException failure) {
            throw new KingcuproadException(ErrorKind.BAD_REQUEST, "the body is not valid JSON", failure);
        }
    }

    private static Target resolveService(EnvironmentDocument document, String method, String path)
            throws KingcuproadException {
        for (Service service : document.services()) {
            for (Route route : service.routes()) {
                if (prefixMatches(route.pathPrefix(), path) && route.methods().contains(method)) {
                    return new Target.ServiceTarget(service.name(), route);
                }
            }
        }
        throw new KingcuproadException(ErrorKind.NOT_FOUND, "no route for " + method + " " + path);
    }

    private static boolean prefixMatches(String prefix, String path) {
        return path.equals(prefix) || path.startsWith(prefix.endsWith("/") ? prefix : prefix + "/");
    }
}
