package org.quetzalseam.core.stream;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.Base64;

/**
 * The origin of one stream as an entry notes it in the platform's store. It stays true for good, also in an older copy of the store,
 * because the ids of attempts are not used twice and a stream never changes its build. Immutable.
 *
 * @param stream digest of the id of the attempt that began it
 * @param service the service that began it
 * @param build the build that began it; empty if that is not known, which allows no endpoint
 * @param untilSeconds when its caller has given up, in Unix seconds
 */
public record NotedOrigin(String stream, String service, String build, long untilSeconds) {
    /** Length of a digest, in characters. */
    public static final int DIGEST_CHARS = 12;
    /** Bytes of a digest: with 200,000 streams in the store, a foreign one is found once in 10^16 questions. */
    private static final int DIGEST_BYTES = 9;

    /** Returns the digest of an attempt's id. */
    public static String digest(String attempt) {
        try {
            byte[] hash = MessageDigest.getInstance("SHA-256").digest(attempt.getBytes(StandardCharsets.UTF_8));
            return Base64.getUrlEncoder().encodeToString(Arrays.copyOf(hash, DIGEST_BYTES));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every JDK has SHA-256", e);
        }
    }

    /** Returns whether the caller has given up. */
    public boolean expired(long wallMillis) {
        return wallMillis / 1_000 > untilSeconds;
    }

    /** Returns what this and another note of the same stream amount to: if they differ, no build is known. */
    public NotedOrigin merge(NotedOrigin other) {
        boolean same = service.equals(other.service) && build.equals(other.build);
        return new NotedOrigin(stream, service, same ? build : "", Math.max(untilSeconds, other.untilSeconds));
    }

    /** Returns where the stream may go on, which is nowhere if the build is not known. */
    public StreamOrigin origin() {
        return StreamOrigin.atBuild(service, build);
    }
}
