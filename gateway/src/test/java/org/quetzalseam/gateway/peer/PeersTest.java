package org.quetzalseam.gateway.peer;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.quetzalseam.core.crash.CrashReport;
import org.quetzalseam.core.crash.CrashReport.Fact;
import org.quetzalseam.core.dispatch.PlaceOutcome;
import org.quetzalseam.core.dispatch.PlaceRequest;
import org.quetzalseam.core.dispatch.Ticket;
import org.quetzalseam.core.fleet.Incarnation;
import org.quetzalseam.core.limits.KnownLimit;
import org.quetzalseam.core.limits.Permit;
import org.quetzalseam.core.limits.PermitAnswer;
import org.quetzalseam.core.limits.PermitAsk;
import org.quetzalseam.core.stream.StreamOrigin;
import org.quetzalseam.gateway.runtime.Timers;

class PeersTest {
    private static final InetSocketAddress ANY = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);

    private static final Incarnation LIMITED = new Incarnation("i-9", 4);

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final EventLoop loop = group.next();
    private final Peers peers = new Peers(loop, new Timers(loop));
    private final AtomicLong stock = new AtomicLong(100);

    private final Map<String, StreamOrigin> kept = new HashMap<>();
    private final CompletableFuture<Heard> heard = new CompletableFuture<>();
    private final OriginKeeper keeper = new OriginKeeper() {
        @Override
        public void keep(String attempt, StreamOrigin origin, long keepMillis) {
            kept.put(attempt, origin);
        }

        @Override
        public Optional<PeerOrigin> known(String attempt) {
            return Optional.ofNullable(kept.get(attempt)).map(origin -> new PeerOrigin(origin, 3));
        }
    };

    private record Heard(String reporter, CrashReport news) {}

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }

    private InetSocketAddress lender() {
        return start(PlaceIssuer.NONE);
    }

    private InetSocketAddress start(PlaceIssuer places) {
        PeerServer server = new PeerServer(
                loop,
                (team, units) -> {
                    long lent = Math.min(stock.get(), units);
                    stock.addAndGet(-lent);
                    return team.equals("dealers") ? lent : 0;
                },
                () -> new ProvedState(7, 40),
                keeper,
                (reporter, news) -> heard.complete(new Heard(reporter, news)),
                (ask, answered) -> answered.accept(permit(ask)));
        server.places(places);
        return server.start(ANY);
    }

    /** Repeats what the question says, so that a test sees that all of it arrives. */
    private static PermitAnswer permit(PermitAsk ask) {
        boolean expected = ask.endpoint().equals(LIMITED)
                && ask.requests() == 2
                && ask.kind() == PermitAsk.Kind.RETURN
                && !ask.relayed();
        Permit permit = expected ? Permit.granted(ask.maxWaitNanos()) : Permit.refused(1_000);
        return new PermitAnswer(permit, ask.known());
    }

    private void know(InetSocketAddress address) {
        loop.submit(() -> peers.update(Map.of("other", address))).syncUninterruptibly();
    }

    private long ask(String team, long units) {
        CompletableFuture<Long> granted = new CompletableFuture<>();
        loop.execute(() -> peers.ask("other", team, units, granted::complete));
        return granted.join();
    }

    @Test
    void anEntryLendsWhatItHas() {
        know(lender());
        assertThat(ask("dealers", 30)).isEqualTo(30);
        assertThat(ask("dealers", 300)).isEqualTo(70);
        assertThat(ask("dealers", 30)).isZero();
        assertThat(ask("strangers", 30)).isZero();
    }

    @Test
    void anEntryIsAskedForPermits() {
        know(lender());
        KnownLimit known = new KnownLimit(true, 2.7, 5_000_000);
        CompletableFuture<Optional<PermitAnswer>> answer = new CompletableFuture<>();
        loop.execute(() -> peers.askPermit(
                "other", new PermitAsk(PermitAsk.Kind.RETURN, LIMITED, 2, 250_000, known, false), answer::complete));
        assertThat(answer.join()).contains(new PermitAnswer(Permit.granted(250_000), known));
        CompletableFuture<Optional<PermitAnswer>> nobody = new CompletableFuture<>();
        loop.execute(() -> peers.askPermit(
                "unknown", new PermitAsk(PermitAsk.Kind.SEND, LIMITED, 1, 0, known, true), nobody::complete));
        assertThat(nobody.join()).isEmpty();
    }

    /** Repeats what a request for a place says, so that a test sees that all of it arrives; makes a request with a team wait first. */
    private static final class EchoingIssuer implements PlaceIssuer {
        private final CompletableFuture<String> ended = new CompletableFuture<>();
        private final CompletableFuture<String> closed = new CompletableFuture<>();

        @Override
        public void ask(String connection, long number, PlaceAsk ask, Consumer<PlaceAnswer> answered) {
            PlaceRequest request = ask.request();
            if (request.team().isEmpty()) {
                answered.accept(PlaceAnswer.granted(LIMITED));
                return;
            }
            answered.accept(PlaceAnswer.waiting(request.usefulNanos()));
            String said = String.join(
                    " ",
                    List.of(
                            ask.service() + ask.group(),
                            request.teamPriority() + "," + request.routePriority(),
                            request.team(),
                            request.objectiveNanos() + "," + request.inTimeNanos() + "," + request.waitedNanos(),
                            request.tokens() + "," + request.excluded()));
            answered.accept(PlaceAnswer.refused(4_000, said));
        }

        @Override
        public void ended(String connection, long number, PlaceOutcome outcome, long responseNanos) {
            ended.complete(outcome + " " + responseNanos);
        }

        @Override
        public void closed(String connection) {
            closed.complete(connection);
        }
    }

    private static PlaceAsk placeAsk(String team, String... excluded) {
        Ticket ticket = new Ticket("entry", 7);
        PlaceRequest request =
                new PlaceRequest(ticket, 1, 2, team, 196_000, -7_000, 90_000, 40_000, 9, Set.of(excluded));
        return new PlaceAsk("s", 3, request);
    }

    // Guards against components of the messages about places that get lost or exchanged.
    @Test
    void anEntryIsAskedForAPlaceAndToldItsEnd() {
        EchoingIssuer issuer = new EchoingIssuer();
        know(start(issuer));
        BlockingQueue<PlaceAnswer> answers = new LinkedBlockingQueue<>();
        loop.execute(
                () -> peers.askPlace("other", placeAsk("dealers", "i-1"), answer -> answers.add(answer.orElseThrow())));
        assertThat(take(answers)).isEqualTo(PlaceAnswer.waiting(90_000));
        assertThat(take(answers)).isEqualTo(PlaceAnswer.refused(4_000, "s3 1,2 dealers 196000,-7000,40000 9,[i-1]"));
        CompletableFuture<PeerPlace> place = new CompletableFuture<>();
        loop.execute(() ->
                place.complete(peers.askPlace("other", placeAsk(""), answer -> answers.add(answer.orElseThrow()))));
        assertThat(take(answers)).isEqualTo(PlaceAnswer.granted(LIMITED));
        loop.execute(() -> place.join().end(PlaceOutcome.REJECTED, 5_000));
        assertThat(issuer.ended.join()).isEqualTo("REJECTED 5000");
        loop.execute(() -> peers.update(Map.of()));
        assertThat(issuer.closed.join()).isEqualTo("#0");
    }

    private static PlaceAnswer take(BlockingQueue<PlaceAnswer> answers) {
        try {
            return Objects.requireNonNull(answers.poll(5, TimeUnit.SECONDS), "no answer");
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    @Test
    void anEntryStatesWhatItKnowsOfTheDesiredState() {
        know(lender());
        CompletableFuture<ProvedState> stated = new CompletableFuture<>();
        loop.execute(() -> peers.askState("other", stated::complete));
        assertThat(stated.join()).isEqualTo(new ProvedState(7, 40));
    }

    @Test
    void anEntryKeepsAndStatesWhereAStreamBegan() {
        know(lender());
        StreamOrigin origin = new StreamOrigin("s", new Incarnation("i-1", 5), "v1");
        StreamOrigin ofUnknownBuild = new StreamOrigin("s", new Incarnation("i-2", 0), null);
        assertThat(keep("a", origin)).isTrue();
        assertThat(keep("b", ofUnknownBuild)).isTrue();
        assertThat(origin("a").origin()).contains(new PeerOrigin(origin, 3));
        assertThat(origin("b").origin()).contains(new PeerOrigin(ofUnknownBuild, 3));
        assertThat(origin("c")).isEqualTo(new OriginAnswer(Optional.empty(), false));
    }

    @Test
    void anEntryHearsWhatAnotherTellsOfCrashesWithTheLongestParts() throws Exception {
        List<String> longest = Collections.nCopies(64, "f".repeat(64));
        List<Fact> lost = Collections.nCopies(3, new Fact("fingerprint", "i-1@5", longest));
        CrashReport news = new CrashReport(
                lost, List.of(new Fact("r", "i-2")), List.of(), List.of(), List.of(new Fact("5a", "i-3")));
        know(lender());
        loop.submit(() -> peers.tellCrashes("entry-1", news)).syncUninterruptibly();
        assertThat(heard.get().reporter()).isEqualTo("entry-1");
        assertThat(heard.get().news()).isEqualTo(news);
    }

    @Test
    void anEntryThatIsNotKnownIsSilent() {
        assertThat(keep("a", StreamOrigin.atBuild("s", "v1"))).isFalse();
        assertThat(origin("a").silent()).isTrue();
    }

    private boolean keep(String attempt, StreamOrigin origin) {
        CompletableFuture<Boolean> answered = new CompletableFuture<>();
        loop.execute(() -> peers.keepOrigin("other", attempt, origin, 1_000, answered::complete));
        return answered.join();
    }

    private OriginAnswer origin(String attempt) {
        CompletableFuture<OriginAnswer> answered = new CompletableFuture<>();
        loop.execute(() -> peers.askOrigin("other", attempt, answered::complete));
        return answered.join();
    }

    // Guards against a request waiting for an entry whose machine is gone or has fallen silent.
    @Test
    void anEntryThatIsSilentOrGoneLendsNothingAndIsNotAskedForAWhile() throws IOException {
        try (ServerSocket silent = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            know(new InetSocketAddress(InetAddress.getLoopbackAddress(), silent.getLocalPort()));
            assertThat(ask("dealers", 30)).isZero();
            assertThat(usable()).isFalse();
        }
        know(lender());
        assertThat(usable()).as("at another address").isTrue();
        assertThat(ask("dealers", 30)).isEqualTo(30);
    }

    private boolean usable() {
        return loop.submit(() -> peers.usable().contains("other"))
                .syncUninterruptibly()
                .getNow();
    }

    @Test
    void bytesThatAreNoMessageEndTheConnectionOnly() throws IOException {
        InetSocketAddress address = lender();
        try (Socket stranger = new Socket(address.getAddress(), address.getPort())) {
            stranger.getOutputStream().write("GET / HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            stranger.setSoTimeout(5_000);
            assertThat(stranger.getInputStream().read()).isEqualTo(-1);
        }
        know(address);
        assertThat(ask("dealers", 30)).isEqualTo(30);
    }

    // Guards against requests that wait for good because the one who asked before them failed to handle that there is
    // no
    // answer.
    @Test
    void aReceiverThatThrowsDoesNotKeepOthersWaiting() throws Exception {
        CompletableFuture<Boolean> second = new CompletableFuture<>();
        loop.submit(() -> {
                    peers.update(Map.of("gone", new InetSocketAddress(InetAddress.getLoopbackAddress(), 1)));
                    peers.ask("gone", "team", 1, units -> {
                        throw new InternalError("thrown by the test");
                    });
                    peers.ask("gone", "team", 1, units -> second.complete(true));
                })
                .get();
        assertThat(second.get(5, TimeUnit.SECONDS)).isTrue();
    }
}
