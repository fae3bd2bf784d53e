package org.quetzalseam.daemon.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.flogger.FluentLogger;
import io.netty.util.NetUtil;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import org.quetzalseam.core.store.JsonSplitter;
import org.quetzalseam.core.store.UnreadableException;
import org.quetzalseam.core.store.UnreadableException.Code;
import org.quetzalseam.daemon.Json;
import org.quetzalseam.wire.message.Role;
import org.quetzalseam.wire.message.Vm;

/**
 * Reads the items of the platform's list of VMs, each by itself: one that the platform can't have written is left aside, and
 * logged when the list before did not have it with the same fault. Thread-safe.
 */
final class VmItems {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** Longest accepted text, in characters: longer than any name, and short enough for peers' messages to hold each VM. */
    private static final int MAX_TEXT_CHARS = 256;

    private static final int MAX_PORT = 65_535;
    private static final int FIRST_PRINTABLE = ' ';
    private static final int LAST_PRINTABLE = '~';

    /** Names and faults of the unreadable items of the latest list. */
    private Set<String> faults = Set.of();

    /** Returns the VMs of those items that can be read. */
    synchronized List<Vm> read(List<String> items) {
        List<Vm> vms = new ArrayList<>();
        Set<String> unreadable = new HashSet<>();
        for (String item : items) {
            JsonNode node = parse(item);
            try {
                vms.add(vm(node));
            } catch (UnreadableException e) {
                String name = UnreadableException.printable(node.path("name").asText());
                String fault = name + " " + e.fault();
                if (unreadable.add(fault) && !faults.contains(fault)) {
                    logger.atWarning().log(
                            "event=object-unreadable kind=vms name=%s code=%s cause=\"%s\"",
                            name, e.code(), e.description());
                }
            }
        }
        faults = unreadable;
        return vms;
    }

    /** Returns an item's tree without the fields that the parser rejects, which are then missing. */
    private static JsonNode parse(String item) {
        ObjectNode node = Json.object();
        try {
            JsonSplitter.fields(item)
                    .forEach((name, value) -> parseValue(value).ifPresent(tree -> node.set(name, tree)));
        } catch (UnreadableException expected) {
            // The item then lacks all fields, which is logged as its fault.
        }
        return node;
    }

    private static Optional<JsonNode> parseValue(String text) {
        try {
            return Optional.of(Json.read(text.getBytes(StandardCharsets.UTF_8)));
        } catch (IOException expected) {
            return Optional.empty();
        }
    }

    private static Vm vm(JsonNode item) {
        return new Vm(
                nonBlankText(item, "name"),
                role(text(item, "role")),
                text(item, "zone"),
                text(item, "pool"),
                host(item),
                port(item, "port"),
                port(item, "operatorPort"),
                text(item, "state").equals("leaving"));
    }

    private static Role role(String text) {
        return switch (text.toLowerCase(Locale.ROOT)) {
            case "entry" -> Role.ENTRY;
            case "endpoint" -> Role.ENDPOINT;
            default -> throw new UnreadableException(Code.NOT_ALLOWED, "role", "entry or endpoint", text);
        };
    }

    private static String text(JsonNode item, String field) {
        JsonNode value = item.path(field);
        if (!value.isTextual()) {
            throw unreadable(value, field, "a text");
        }
        String text = value.asText();
        if (text.length() > MAX_TEXT_CHARS || text.chars().anyMatch(VmItems::isUnprintable)) {
            String expected = "at most " + MAX_TEXT_CHARS + " printable characters";
            throw new UnreadableException(Code.NOT_ALLOWED, field, expected, text);
        }
        return text;
    }

    private static boolean isUnprintable(int character) {
        return character < FIRST_PRINTABLE || character > LAST_PRINTABLE;
    }

    private static String nonBlankText(JsonNode item, String field) {
        String text = text(item, field);
        if (text.isBlank()) {
            throw new UnreadableException(Code.NOT_ALLOWED, field, "a text that is not blank", text);
        }
        return text;
    }

    /** Returns the host, which has to be an IP address, so that no name is looked up. */
    private static String host(JsonNode item) {
        String host = text(item, "host");
        if (NetUtil.createByteArrayFromIpAddressString(host) == null || host.startsWith("[")) {
            throw new UnreadableException(Code.NOT_ALLOWED, "host", "an IP address", host);
        }
        return host;
    }

    private static int port(JsonNode item, String field) {
        JsonNode value = item.path(field);
        if (!value.isIntegralNumber()) {
            throw unreadable(value, field, "an integer");
        }
        if (!value.canConvertToInt() || value.intValue() < 1 || value.intValue() > MAX_PORT) {
            throw new UnreadableException(Code.NOT_ALLOWED, field, "1 to " + MAX_PORT, value.asText());
        }
        return value.intValue();
    }

    /** Returns the exception for a value that is missing or of another type; it does not write out a container. */
    private static UnreadableException unreadable(JsonNode value, String field, String expected) {
        Code code = value.isMissingNode() ? Code.MISSING : Code.WRONG_TYPE;
        return new UnreadableException(
                code, field, expected, value.getNodeType().name());
    }
}
