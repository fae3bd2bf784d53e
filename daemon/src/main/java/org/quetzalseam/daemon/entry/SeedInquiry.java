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
 * Requests the site's state from the processes that the settings name as seeds, so that an entry can start while the
 * platform's store is down. The newest of several answers is used. Thread-safe.
 */
final class SeedInquiry implements Service {
    private final List<Dialer> dialers;

    SeedInquiry(List<Seed> seeds, LinkContext context) {
        // A separate incarnation distinguishes these connections from the entry's link to the same endpoint.
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
                // No work is sent on this connection, so the endpoint need not wait for any before it shuts down.
                connection.send(new LeavingHeard());
            }
        }

        @Override
        public void closed(Connection connection) {
            // The dialer reconnects and the state is requested again, as the seed may have a newer one by then.
            // An idle connection is closed within seconds.
        }
    }

    @Override
    public void stop() {
        dialers.forEach(Dialer::stop);
    }
}
