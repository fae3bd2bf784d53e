package org.quetzalseam.daemon.entry;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.Map;
import org.quetzalseam.core.catalogue.CatalogueInForce;
import org.quetzalseam.core.catalogue.CatalogueInForce.Accepted;
import org.quetzalseam.core.catalogue.CatalogueParser;
import org.quetzalseam.core.catalogue.CatalogueParser.Parsed;
import org.quetzalseam.daemon.catalogue.Digests;
import org.quetzalseam.daemon.platform.MemberList;
import org.quetzalseam.wire.message.FetchState;
import org.quetzalseam.wire.message.HeartbeatAck;
import org.quetzalseam.wire.message.SiteState;

/**
 * Keeps the catalogue and the list of VMs of one entry as new as the newest that the store or any endpoint has.
 * Endpoints hold both for other entries, so that a change also reaches an entry that cannot read the store.
 * Thread-safe.
 */
final class SiteSync {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    /** Receives each newer list of VMs. */
    @FunctionalInterface
    interface MembersListener {
        /** Handles a list that is newer than all previous ones. */
        void changed(MemberList members);
    }

    private final CatalogueInForce inForce;
    private final MembersListener listener;
    private MemberList members = new MemberList(0, List.of());

    SiteSync(CatalogueInForce inForce, MembersListener listener) {
        this.inForce = inForce;
        this.listener = listener;
    }

    long catalogueVersion() {
        return inForce.version();
    }

    synchronized long membersVersion() {
        return members.version();
    }

    /** Adopts a list of VMs if it is newer than the current one. */
    void offerMembers(MemberList candidate) {
        synchronized (this) {
            if (candidate.version() <= members.version()) {
                return;
            }
            MemberList before = members;
            members = candidate;
            try {
                listener.changed(candidate);
            } catch (Throwable e) {
                // Else the list would count as known, and would not be offered again before the next change.
                members = before;
                throw e;
            }
        }
    }

    /** Adopts whatever is newer in the state that another process has sent. */
    void offer(SiteState state) {
        offerMembers(new MemberList(state.members(), state.vms()));
        if (state.manifest().version() > inForce.version()) {
            offerCatalogue(state);
        }
    }

    private void offerCatalogue(SiteState state) {
        Map<String, String> digests = state.manifest().files();
        boolean complete = state.files().keySet().equals(digests.keySet())
                && digests.entrySet().stream().allMatch(file -> file.getValue().equals(digest(state, file.getKey())));
        Parsed parsed = CatalogueParser.parse(state.files());
        if (!complete || !parsed.valid()) {
            logger.atWarning().log(
                    "event=catalogue-from-peer-broken version=%d",
                    state.manifest().version());
            return;
        }
        if (inForce.offer(new Accepted(state.manifest(), state.files(), parsed.catalogue()))) {
            logger.atInfo().log(
                    "event=catalogue-in-force source=peer version=%d",
                    state.manifest().version());
        }
    }

    private static String digest(SiteState state, String file) {
        return Digests.of(state.files().getOrDefault(file, ""));
    }

    /** Compares versions with those of an endpoint, and requests or sends whatever is newer. */
    void reconcile(EndpointLink link, HeartbeatAck ack) {
        if (ack.catalogue() > catalogueVersion() || ack.members() > membersVersion()) {
            link.sendOutsideAttempt(new FetchState());
        }
        if (ack.catalogue() < catalogueVersion() || ack.members() < membersVersion()) {
            link.sendOutsideAttempt(state());
        }
    }

    private SiteState state() {
        Accepted accepted = inForce.current();
        synchronized (this) {
            return new SiteState(accepted.manifest(), accepted.files(), members.version(), members.vms());
        }
    }
}
