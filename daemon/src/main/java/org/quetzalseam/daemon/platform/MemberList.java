package org.quetzalseam.daemon.platform;

import java.util.List;
import org.quetzalseam.wire.message.Vm;

/**
 * The platform's list of VMs. It lags behind what happens. Immutable.
 *
 * @param version rises with each change of the list, also over returns of the store from an older copy
 * @param vms the VMs
 */
public record MemberList(long version, List<Vm> vms) {
    /** Copies the list. */
    public MemberList {
        vms = List.copyOf(vms);
    }
}
