package org.quetzalseam.daemon.entry;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.quetzalseam.core.catalogue.CatalogueInForce;
import org.quetzalseam.daemon.platform.MemberList;

class SiteSyncTest {
    private final List<Long> applied = new ArrayList<>();
    private int failures = 1;
    private final SiteSync site = new SiteSync(new CatalogueInForce(), this::apply);

    private void apply(MemberList members) {
        if (failures-- > 0) {
            throw new InternalError("thrown by the test");
        }
        applied.add(members.version());
    }

    // Guards against endpoints that stay unknown until the list of VMs changes once more, because applying it failed.
    @Test
    void aListOfVmsThatCouldNotBeAppliedIsAppliedWhenItIsOfferedAgain() {
        MemberList members = new MemberList(7, List.of());
        assertThatThrownBy(() -> site.offerMembers(members)).isInstanceOf(InternalError.class);
        assertThat(site.membersVersion()).as("version to watch from").isZero();
        site.offerMembers(members);
        assertThat(applied).containsExactly(7L);
        assertThat(site.membersVersion()).isEqualTo(7);
    }
}
