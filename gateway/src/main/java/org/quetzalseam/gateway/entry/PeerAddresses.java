package org.quetzalseam.gateway.entry;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.quetzalseam.gateway.store.StoredObject;

/** What the registrations of entries state for the others: addresses at which they answer, and processors. Stateless. */
final class PeerAddresses {
    private static final String ADDRESS = "peers";
    private static final String PROCESSOR = "processor";
    private static final int MAX_PORT = 65_535;
    /** Most processor cores of a machine; a higher number was written by another writer. */
    private static final double MAX_CORES = 4_096;

    private PeerAddresses() {}

    /** Returns the registration of an entry; one that can't be asked states no processor. */
    static JsonNode toJson(@Nullable InetSocketAddress address, double processor) {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        if (address != null) {
            json.put(ADDRESS, address.getHostString() + ":" + address.getPort());
            if (processor > 0) {
                json.put(PROCESSOR, processor);
            }
        }
        return json;
    }

    /** Returns the processors that the other entries state; an unusable number counts as none. */
    static Map<String, Double> processorsOfOthers(List<StoredObject> objects, String self) {
        Map<String, Double> processors = new HashMap<>();
        for (StoredObject object : objects) {
            JsonNode processor = object.spec().path(PROCESSOR);
            if (!object.name().equals(self)
                    && processor.isNumber()
                    && processor.doubleValue() > 0
                    && processor.doubleValue() <= MAX_CORES) {
                processors.put(object.name(), processor.doubleValue());
            }
        }
        return processors;
    }

    static Map<String, InetSocketAddress> ofOthers(List<StoredObject> objects, String self) {
        Map<String, InetSocketAddress> addresses = new HashMap<>();
        for (StoredObject object : objects) {
            if (!object.name().equals(self)) {
                parse(object.spec().path(ADDRESS).asText(""))
                        .ifPresent(address -> addresses.put(object.name(), address));
            }
        }
        return addresses;
    }

    /** Returns the address if it is an IP address and a port, so that no name is looked up. */
    private static Optional<InetSocketAddress> parse(String text) {
        int colon = text.lastIndexOf(':');
        InetAddress host = colon < 0 ? null : NetUtil.createInetAddressFromIpAddressString(text.substring(0, colon));
        if (host == null) {
            return Optional.empty();
        }
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            return port > 0 && port <= MAX_PORT ? Optional.of(new InetSocketAddress(host, port)) : Optional.empty();
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }
}
