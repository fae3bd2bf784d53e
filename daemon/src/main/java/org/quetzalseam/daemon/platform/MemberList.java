package org.quetzalseam.daemon.platform;

import java.util.List;
import org.quetzalseam.wire.message.Vm;

/**
 * The platform's list of VMs, which lags behind the actual state of the VMs. Immutable.
 *
 * @param version increases with each change of the list, also across restores of the store from an older copy
 * @param vms the VMs
 */
public record MemberList(long version, List<Vm> vms) {
    /** Copies the list. */
    public MemberList {
        vms = List.copyOf(vms);
    }
}
