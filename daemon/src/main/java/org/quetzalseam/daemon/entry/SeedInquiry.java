package org.quetzalseam.daemon.entry;

import java.util.List;
import org.quetzalseam.daemon.settings.Settings.Seed;
import org.quetzalseam.wire.connection.Connection;
import org.quetzalseam.wire.connection.Dialer;
import org.quetzalseam.wire.connection.Identity;
import org.quetzalseam.wire.message.FetchState;
import org.quetzalseam.wire.message.Leaving;
import org.quetzalseam.wire.message.LeavingHeard;
import org.quetzalseam.wire.message.Message;
import org.quetzalseam.wire.message.SiteState;
import org.quetzalseam.wire.runtime.Service;

/**
 * Asks the processes that the settings name for the site's state, so that an entry can start while the platform's store
 * is down. Of several answers the newest counts. Thread-safe.
 */
final class SeedInquiry implements Service {
    private final List<Dialer> dialers;

    SeedInquiry(List<Seed> seeds, LinkContext context) {
        // An incarnation of its own keeps these connections apart from the entry's link to the same endpoint.
        Identity self = Identity.start(
                context.self().role(), context.self().name(), context.self().zone());
        dialers = seeds.stream()
                .map(seed -> new Dialer(
                        seed.host(),
                        seed.port(),
                        self,
                        context.key(),
                        context.transport(),
                        context.timers(),
                        new StateRequester(context.site())))
                .toList();
    }

    @Override
    public void start() {
        dialers.forEach(Dialer::start);
    }

    private record StateRequester(SiteSync site) implements Dialer.Listener {
        @Override
        public void opened(Connection connection) {
            connection.send(new FetchState());
        }

        @Override
        public void received(Connection connection, Message message) {
            if (message instanceof SiteState state) {
                site.offer(state);
            } else if (message instanceof Leaving) {
                // No work is sent here; who leaves needn't wait for more.
                connection.send(new LeavingHeard());
            }
        }

        @Override
        public void closed(Connection connection) {
            // The dialer asks again: the seed may know more by then. A silent connection is closed within seconds.
        }
    }

    @Override
    public void stop() {
        dialers.forEach(Dialer::stop);
    }
}
