package org.quetzalseam.cli.operate;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.RecordComponent;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeSet;
import org.quetzalseam.core.catalogue.Catalogue;

/** Describes the differences between two catalogues. Stateless. */
final class CatalogueDiff {
    private CatalogueDiff() {}

    /** Returns one line per difference, grouped by kind and sorted by name. */
    static List<String> lines(Catalogue before, Catalogue after) {
        List<String> lines = new ArrayList<>();
        compare("owner", before.owners(), after.owners(), lines);
        compare("model", before.models(), after.models(), lines);
        compare("service", before.services(), after.services(), lines);
        compare("entry", before.entries(), after.entries(), lines);
        return lines;
    }

    private static <T extends Record> void compare(
            String kind, Map<String, T> before, Map<String, T> after, List<String> lines) {
        TreeSet<String> names = new TreeSet<>(before.keySet());
        names.addAll(after.keySet());
        for (String name : names) {
            T old = before.get(name);
            T now = after.get(name);
            if (old == null) {
                lines.add("+ " + kind + " " + name);
            } else if (now == null) {
                lines.add("- " + kind + " " + name);
            } else {
                compareFields(kind + " " + name, old, now, lines);
            }
        }
    }

    private static void compareFields(String path, Record old, Record now, List<String> lines) {
        for (RecordComponent component : old.getClass().getRecordComponents()) {
            Object oldValue = value(component, old);
            Object newValue = value(component, now);
            String field = path + " " + component.getName();
            if (oldValue instanceof Record oldPart && newValue instanceof Record newPart) {
                compareFields(field, oldPart, newPart, lines);
            } else if (!Objects.equals(oldValue, newValue)) {
                lines.add("~ " + field + ": " + oldValue + " -> " + newValue);
            }
        }
    }

    private static Object value(RecordComponent component, Record of) {
        try {
            return component.getAccessor().invoke(of);
        } catch (IllegalAccessException | InvocationTargetException e) {
            throw new IllegalStateException("cannot read record component " + component, e);
        }
    }
}
