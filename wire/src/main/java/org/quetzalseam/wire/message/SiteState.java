package org.quetzalseam.wire.message;

import java.util.List;
import java.util.Map;
import org.quetzalseam.core.catalogue.Manifest;

/**
 * The accepted catalogue and the list of VMs, as processes exchange them. Each has its own version, and a
 * receiver adopts each one that is newer than its own.
 *
 * @param manifest the accepted manifest
 * @param files texts of the catalogue's files by name
 * @param members version of the list of VMs
 * @param vms the list of VMs
 */
public record SiteState(Manifest manifest, Map<String, String> files, long members, List<Vm> vms) implements Message {
    /** Makes the collections immutable. */
    public SiteState {
        files = Map.copyOf(files);
        vms = List.copyOf(vms);
    }

    /** Returns the state of a process that has not received any yet. */
    public static SiteState none() {
        return new SiteState(Manifest.none(), Map.of(), 0, List.of());
    }

    /**
     * Returns a state with the newer catalogue and the newer list of VMs of two states; on equal versions those of
     * {@code a}.
     */
    public static SiteState newer(SiteState a, SiteState b) {
        SiteState catalogue = a.manifest.version() >= b.manifest.version() ? a : b;
        SiteState list = a.members >= b.members ? a : b;
        return new SiteState(catalogue.manifest, catalogue.files, list.members, list.vms);
    }
}
