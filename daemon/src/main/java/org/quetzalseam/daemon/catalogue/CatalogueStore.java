package org.quetzalseam.daemon.catalogue;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Supplier;
import org.quetzalseam.core.catalogue.CatalogueInForce.Accepted;
import org.quetzalseam.core.catalogue.CatalogueParser;
import org.quetzalseam.core.catalogue.CatalogueParser.Parsed;
import org.quetzalseam.core.catalogue.Manifest;
import org.quetzalseam.core.store.UnreadableException;
import org.quetzalseam.daemon.Json;
import org.quetzalseam.daemon.catalogue.CatalogueException.Code;
import org.quetzalseam.daemon.platform.ObjectStore;
import org.quetzalseam.daemon.platform.StoreException;
import org.quetzalseam.daemon.platform.StoredObject;

/**
 * Reads and writes the catalogue's objects in the platform's store. Thread-safe.
 *
 * <p>{@code accepted} and {@code proposal} hold manifests, {@code verdict} the last refusal, and {@code file-DIGEST} the
 * text with that digest, which never changes. Only a conditional update of {@code accepted} puts a change in force, so
 * concurrent reviewers, or a reviewer that reads stale data, cannot put a wrong change in force.
 */
public final class CatalogueStore {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    /** Name of the object that holds the manifest in force. */
    public static final String ACCEPTED = "accepted";

    /** Name of the object that holds the manifest last proposed. */
    public static final String PROPOSAL = "proposal";

    private static final String VERDICT = "verdict";
    private static final String FILE_PREFIX = "file-";

    /**
     * A value of the store together with the version that a conditional update must name.
     *
     * @param value the value
     * @param storeVersion the store's version, 0 when there is no object yet
     * @param <T> type of the value
     */
    public record Versioned<T>(T value, long storeVersion) {}

    private final ObjectStore store;
    /** Versions of the objects whose latest content could not be read, by name; each is logged once. */
    private final Map<String, Long> unreadableVersions = new ConcurrentHashMap<>();
    /** Texts of the last loaded manifest by digest. Texts never change, so only those missing here are read from the store. */
    private volatile Map<String, String> loaded = Map.of();

    /** Creates a client of the catalogue in the given store. */
    public CatalogueStore(ObjectStore store) {
        this.store = store;
    }

    /** Returns the accepted manifest. */
    public Versioned<Manifest> accepted() {
        return manifest(store.read(ACCEPTED));
    }

    /** Returns the last proposed manifest; one that can't be read proposes nothing, and the next proposal replaces it. */
    public Versioned<Manifest> proposal() {
        return proposal(store.read(PROPOSAL));
    }

    /** Waits for the accepted manifest to change and returns it, or nothing when the wait times out. */
    public Optional<Versioned<Manifest>> watchAccepted(long storeVersion, Duration wait) {
        return store.watch(ACCEPTED, storeVersion, wait).map(object -> manifest(Optional.of(object)));
    }

    /** Waits for the proposal to change and returns it as {@link #proposal} does, or nothing when the wait times out. */
    public Optional<Versioned<Manifest>> watchProposal(long storeVersion, Duration wait) {
        return store.watch(PROPOSAL, storeVersion, wait).map(object -> proposal(Optional.of(object)));
    }

    /** Returns the last refusal; one that can't be read refuses nothing. */
    public Versioned<Verdict> verdict() {
        Optional<StoredObject> object = store.read(VERDICT);
        return orNone(object, () -> value(object, Verdict.class, Verdict.none()), Verdict.none());
    }

    private Versioned<Manifest> proposal(Optional<StoredObject> object) {
        return orNone(object, () -> manifest(object), Manifest.none());
    }

    private static <T> Versioned<T> orNone(Optional<StoredObject> object, Supplier<Versioned<T>> reader, T none) {
        try {
            return reader.get();
        } catch (CatalogueException e) {
            return new Versioned<>(none, object.map(StoredObject::version).orElse(0L));
        }
    }

    /** Returns a manifest; its digests are names of objects, so each has to be one. */
    private Versioned<Manifest> manifest(Optional<StoredObject> object) {
        Versioned<Manifest> read = value(object, Manifest.class, Manifest.none());
        if (!read.value().files().values().stream().allMatch(Digests::isDigest)) {
            throw unreadable(object.orElseThrow(), new IOException("files: expected digests"));
        }
        return read;
    }

    private <T> Versioned<T> value(Optional<StoredObject> object, Class<T> type, T none) {
        if (object.isEmpty()) {
            return new Versioned<>(none, 0);
        }
        try {
            return new Versioned<>(
                    Json.read(object.get().value(), type), object.get().version());
        } catch (IOException e) {
            throw unreadable(object.get(), e);
        }
    }

    /** Logs each version of an object once. */
    private CatalogueException unreadable(StoredObject object, IOException cause) {
        Long logged = unreadableVersions.put(object.name(), object.version());
        if (logged == null || logged != object.version()) {
            logger.atWarning().log(
                    "event=object-unreadable kind=objects name=%s version=%d cause=\"%s\"",
                    object.name(), object.version(), UnreadableException.printable(String.valueOf(cause.getMessage())));
        }
        return new CatalogueException(Code.BROKEN, "object " + object.name() + " isn't readable", cause);
    }

    /** Writes a manifest or verdict on condition that the object has not changed since it was read. */
    private void write(String name, Object value, long storeVersion) {
        byte[] bytes = Json.write(value);
        if (storeVersion == 0) {
            store.create(name, bytes);
        } else {
            store.replace(name, bytes, storeVersion);
        }
    }

    /** Stores those texts of a catalogue that the store does not have yet. Returns the digests of all texts by file name. */
    public Map<String, String> storeFiles(Map<String, String> files) {
        Map<String, String> digests = new HashMap<>();
        files.forEach((name, text) -> {
            String digest = Digests.of(text);
            digests.put(name, digest);
            storeFile(FILE_PREFIX + digest, text);
        });
        return digests;
    }

    private void storeFile(String name, String text) {
        if (store.read(name).isPresent()) {
            return;
        }
        try {
            store.create(name, text.getBytes(StandardCharsets.UTF_8));
        } catch (StoreException e) {
            // Another writer may have stored the same text, or the response was lost after the write took effect.
            if (e.code() == StoreException.Code.REFUSED || store.read(name).isEmpty()) {
                throw e;
            }
        }
    }

    /** Reads the texts that a manifest names, checks their digests, and parses them. */
    public Accepted load(Manifest manifest) {
        Map<String, String> files = new HashMap<>();
        manifest.files().forEach((name, digest) -> files.put(name, file(digest)));
        Map<String, String> texts = new HashMap<>();
        manifest.files().forEach((name, digest) -> texts.put(digest, files.getOrDefault(name, "")));
        loaded = Map.copyOf(texts);
        Parsed parsed = CatalogueParser.parse(files);
        return new Accepted(manifest, files, parsed.catalogue());
    }

    private String file(String digest) {
        String known = loaded.get(digest);
        if (known != null) {
            return known;
        }
        StoredObject object = store.read(FILE_PREFIX + digest)
                .orElseThrow(() -> new CatalogueException(Code.BROKEN, "text " + digest + " is missing", null));
        String text = new String(object.value(), StandardCharsets.UTF_8);
        if (!Digests.of(text).equals(digest)) {
            throw new CatalogueException(Code.BROKEN, "text " + digest + " has another digest", null);
        }
        return text;
    }

    /**
     * Proposes a change on top of an accepted version.
     *
     * @param files the complete new catalogue: texts by file name
     * @param base the accepted version that the change is based on
     * @param author who makes the change
     * @return the proposed manifest
     * @throws CatalogueException with {@code CONFLICT} when another change was accepted first or is being reviewed
     */
    public Manifest propose(Map<String, String> files, long base, String author) {
        Manifest accepted = accepted().value();
        if (accepted.version() != base) {
            throw new CatalogueException(
                    Code.CONFLICT,
                    "the change was made from version " + base + ", but " + accepted.version() + " by '"
                            + accepted.author() + "' is in force",
                    null);
        }
        Versioned<Manifest> previous = proposal();
        boolean undecided = previous.value().version() > accepted.version()
                && verdict().value().writer() != previous.value().writer();
        if (undecided) {
            throw new CatalogueException(
                    Code.CONFLICT, "a change by '" + previous.value().author() + "' is being reviewed", null);
        }
        long writer = ThreadLocalRandom.current().nextLong();
        Manifest proposal = new Manifest(base + 1, writer, author, storeFiles(files));
        writeOnce(PROPOSAL, proposal, previous.storeVersion());
        return proposal;
    }

    /** Puts a reviewed manifest in force, provided that {@code accepted} has not changed since the review read it. */
    public void accept(Manifest manifest, long storeVersion) {
        writeOnce(ACCEPTED, manifest, storeVersion);
    }

    /** Stores the reasons why a proposal was refused. */
    public void refuse(Verdict verdict, long storeVersion) {
        write(VERDICT, verdict, storeVersion);
    }

    /** Writes a manifest. After a conflict or a lost response, reads the object to find out whether the write took effect. */
    private void writeOnce(String name, Manifest manifest, long storeVersion) {
        try {
            write(name, manifest, storeVersion);
        } catch (StoreException e) {
            if (e.code() == StoreException.Code.REFUSED) {
                throw e;
            }
            Manifest now = manifest(store.read(name)).value();
            if (now.writer() != manifest.writer()) {
                Code code = e.code() == StoreException.Code.CONFLICT ? Code.CONFLICT : Code.UNAVAILABLE;
                throw new CatalogueException(code, "the change to " + name + " did not take effect", e);
            }
        }
    }
}
