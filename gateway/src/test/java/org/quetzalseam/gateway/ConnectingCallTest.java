package org.quetzalseam.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.quetzalseam.core.fleet.Member;
import org.quetzalseam.core.fleet.Stage;
import org.quetzalseam.gateway.endpoint.Endpoint;
import org.quetzalseam.gateway.http.CallFailure;
import org.quetzalseam.gateway.http.ReplyListener;

/** Tests calls that wait for a connection to be opened. */
class ConnectingCallTest {
    private final TestEntry entry = new TestEntry();
    private final ScriptedEndpoint endpoint =
            new ScriptedEndpoint("e", (request, connection) -> connection.answer(request, "answer"));

    @AfterEach
    void stop() {
        entry.close();
        endpoint.close();
    }

    /** Sends a request, and changes the list of endpoints before its connection is open. */
    private String sendAndList(List<Member> members) throws Exception {
        entry.updateEndpoints(endpoint.member("s", Stage.WHOLE));
        CompletableFuture<String> result = new CompletableFuture<>();
        entry.process().timers().soon(() -> {
            Endpoint listed =
                    entry.process().directory().usable("s", Stage.WHOLE).get(0);
            HttpRequest request = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/once/x");
            request.headers().set("x-id", "r");
            listed.send(request, Endpoint.emptyBody(), "r", new Result(result));
            entry.process().directory().update(members);
        });
        return result.get(5, TimeUnit.SECONDS);
    }

    // Guards against a request reaching an endpoint that began to drain while a connection to it was opened.
    @Test
    void aRequestIsNotSentToAnEndpointThatBeganToDrainWhileItsConnectionWasOpened() throws Exception {
        assertThat(sendAndList(List.of(endpoint.drainingMember("s", Stage.WHOLE))))
                .isEqualTo("NOT_CONNECTED");
        assertThat(endpoint.runs()).isEmpty();
    }

    // Guards against a request reaching an endpoint that is no longer listed when its connection is open.
    @Test
    void aRequestIsNotSentToAnEndpointThatLeftTheListWhileItsConnectionWasOpened() throws Exception {
        assertThat(sendAndList(List.of())).isEqualTo("NOT_CONNECTED");
        assertThat(endpoint.runs()).isEmpty();
    }

    @Test
    void aRequestIsSentToAnEndpointThatStays() throws Exception {
        assertThat(sendAndList(List.of(endpoint.member("s", Stage.WHOLE)))).isEqualTo("completed");
        assertThat(endpoint.runs()).hasSize(1);
    }

    private record Result(CompletableFuture<String> result) implements ReplyListener {
        @Override
        public void head(HttpResponse head) {}

        @Override
        public void body(ByteBuf part) {
            part.release();
        }

        @Override
        public void completed() {
            result.complete("completed");
        }

        @Override
        public void failed(CallFailure failure) {
            result.complete(failure.kind().toString());
        }
    }
}
