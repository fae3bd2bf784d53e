package org.quetzalseam.daemon.settings;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.quetzalseam.wire.message.Role;

/**
 * The validated settings of one process. Immutable. {@link SettingsReader} reads them from INI text.
 *
 * @param role the role that the process runs
 * @param name its name, the same as its VM's in the platform's list
 * @param zone its availability zone
 * @param listen addresses and ports
 * @param platformUrl base address of the platform's store
 * @param seeds other processes to ask for the site's state while the store is unavailable
 * @param security how processes authenticate each other
 * @param backend the back end that an endpoint serves; not used by entries
 * @param policy choice of policies
 * @param timing intervals and limits of time
 */
public record Settings(
        Role role,
        String name,
        String zone,
        Listen listen,
        String platformUrl,
        List<Seed> seeds,
        Security security,
        Backend backend,
        Policy policy,
        Timing timing) {
    /** Copies the list of seeds. */
    public Settings {
        seeds = List.copyOf(seeds);
    }

    /**
     * Addresses and ports. Port 0 selects any free port.
     *
     * @param host IP address to listen on
     * @param port port for callers (entry) or for entries (endpoint)
     * @param operatorPort port of the operators' interface
     * @param connections most connections to the port
     * @param operatorConnections most connections to the operators' port
     */
    public record Listen(String host, int port, int operatorPort, int connections, int operatorConnections) {}

    /**
     * Address of another process.
     *
     * @param host IP address
     * @param port port
     */
    public record Seed(String host, int port) {}

    /**
     * How processes authenticate each other.
     *
     * @param siteKeyFile file with the site's key, or null to communicate over loopback only
     * @param keyStoreFile PKCS #12 file for TLS, or null for plain TCP
     * @param keyStorePasswordFile file with its password, or null
     */
    public record Security(
            @Nullable Path siteKeyFile,
            @Nullable Path keyStoreFile,
            @Nullable Path keyStorePasswordFile) {}

    /** Kind of the back end that an endpoint serves. */
    public enum BackendKind {
        /** An engine that prefills. */
        PREFILL,
        /** An engine that decodes. */
        DECODE,
        /** A plain service. */
        SERVICE
    }

    /**
     * The back end that an endpoint serves.
     *
     * @param kind kind of the back end
     * @param url its base address
     * @param places number of attempts that it can run concurrently
     * @param shortReserve number of places reserved for short work
     * @param checksOrders whether the engine itself refuses orders with an outdated fencing token
     */
    public record Backend(BackendKind kind, String url, int places, int shortReserve, boolean checksOrders) {}

    /** How an entry chooses endpoints. */
    public enum PlacementPolicy {
        /** Each endpoint in rotation: the baseline. */
        ROUND_ROBIN,
        /** The endpoint with the least backlog. */
        LEAST_BACKLOG,
        /** The better of two endpoints chosen at random. */
        TWO_CHOICES,
        /** The endpoint that last served the prompt's prefix, unless it is much busier than others. */
        PREFIX_AFFINITY
    }

    /** Order in which an entry requests decode memory and prefill. */
    public enum BookingOrder {
        /** Decode memory is booked first. */
        BEFORE_PREFILL,
        /** The prompt is prefilled first: the baseline. */
        AFTER_PREFILL
    }

    /** Order in which an endpoint serves queued work. */
    public enum QueueOrder {
        /** Fair among owners, short work before long. */
        FAIR,
        /** In order of arrival: the baseline. */
        FIFO
    }

    /** Whether an endpoint refuses work early. */
    public enum Shedding {
        /** Refuses work at once if its predicted wait certainly exceeds its limit. */
        PREDICTED,
        /** Refuses work only when the queue is full or the wait has exceeded its limit. */
        NONE
    }

    /**
     * Choice of policies.
     *
     * @param placement how an entry chooses endpoints
     * @param booking when an entry books decode memory
     * @param queue order in which an endpoint serves queued work
     * @param shedding whether an endpoint refuses work early
     * @param longWindow share of a decode endpoint's places that long work may hold while it waits for its prefill, 0 to 1
     * @param bookAhead share of the places expected to become free that a decode endpoint books in advance, 0 to 1
     */
    public record Policy(
            PlacementPolicy placement,
            BookingOrder booking,
            QueueOrder queue,
            Shedding shedding,
            double longWindow,
            double bookAhead) {}

    /**
     * Intervals and limits of time.
     *
     * @param heartbeat interval between an entry's heartbeats
     * @param lease how long an endpoint keeps an attempt without a heartbeat
     * @param lameDuck how long a stopping entry still accepts requests after it has reported that it is not ready
     * @param drain longest time that a planned stop waits for work in progress
     * @param keyRetention how long an idempotency key is remembered
     */
    public record Timing(
            Duration heartbeat, Duration lease, Duration lameDuck, Duration drain, Duration keyRetention) {}
}
