package org.kingcuproad.entry.request;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.kingcuproad.model.EnvironmentDocument;
import org.kingcuproad.model.Workspace;

/** Looks up the workspace of a caller by its credential. Immutable; a new instance is created for each document. */
public final class Authenticator {

    private static final String BEARER = "Bearer ";

    private final Map<String, Workspace> workspaceByCredentialHash;

    /**
     * Creates an authenticator.
     *
     * @param document the environment document in force
     */
    public Authenticator(EnvironmentDocument document) {
        this.workspaceByCredentialHash = document.workspaces().stream()
                .collect(Collectors.toUnmodifiableMap(Workspace::credentialSha256, Function.identity(), (a, b) -> a));
    }

    /**
     * Returns the workspace whose credential a header carries.
     *
     * @param authorization value of the {@code Authorization} header
     * @return the workspace, or empty if the credential is unknown
     */
    public Optional<Workspace> authenticate(String authorization) {
        if (!authorization.startsWith(BEARER)) {
            return Optional.empty();
        }
        String hash = sha256(authorization.substring(BEARER.length()));
        return Optional.ofNullable(workspaceByCredentialHash.get(hash));
    }

    /**
     * Returns whether a header carries the expected credential.
     *
     * @param authorization value of the {@code Authorization} header
     * @param credentialSha256 SHA-256 of the expected credential, in lower-case hexadecimal
     * @return {@code true} if the credential is the expected one
     */
    public static boolean matches(String authorization, String credentialSha256) {
        return authorization.startsWith(BEARER)
                && sha256(authorization.substring(BEARER.length())).equals(credentialSha256);
    }

    private static String sha256(String credential) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            return HexFormat.of().formatHex(digest.digest(credential.getBytes(StandardCharsets.UTF_8)));
        } catch (NoSuchAlgorithmException failure) {
            throw new IllegalStateException("SHA-256 is not available", failure);
        }
    }
}
