package org.quetzalseam.gateway.endpoint;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.quetzalseam.gateway.http.CallFailure;
import org.quetzalseam.gateway.http.HttpConnection;
import org.quetzalseam.gateway.http.ReplyListener;

/** One call to an endpoint, from the wait for a connection to the end of the reply. Used on the event loop only. */
public final class EndpointCall implements ReplyListener {
    private final HttpRequest request;
    private final ByteBuf body;
    private final @Nullable String id;
    private final ReplyListener replies;
    private final Consumer<HttpResponse> onHead;
    private final Consumer<EndpointCall> onEnd;
    private @Nullable HttpConnection connection;
    private boolean ended;

    EndpointCall(
            HttpRequest request,
            ByteBuf body,
            @Nullable String id,
            ReplyListener replies,
            Consumer<HttpResponse> onHead,
            Consumer<EndpointCall> onEnd) {
        this.request = request;
        this.body = body;
        this.id = id;
        this.replies = replies;
        this.onHead = onHead;
        this.onEnd = onEnd;
    }

    /** Starts on a connection. Returns false when the call was given up meanwhile: the connection stays unused. */
    boolean begin(HttpConnection opened) {
        if (ended) {
            return false;
        }
        connection = opened;
        opened.exchange(request, body, id, this);
        return true;
    }

    void failUnsent(CallFailure failure) {
        if (!ended) {
            body.release();
            failed(failure);
        }
    }

    /** Returns whether the request has been handed to a connection. */
    public boolean sent() {
        return connection != null;
    }

    /** Returns the connection that it went over, or null if it hasn't been sent. */
    @Nullable
    HttpConnection connection() {
        return connection;
    }

    /** Returns when its connection was opened, in monotonic nanoseconds; 0 when it hasn't been sent. */
    long connectedAt() {
        HttpConnection used = connection;
        return used == null ? 0 : used.openedAt();
    }

    /** Returns whether the reply is still to come. */
    public boolean active() {
        return !ended;
    }

    /** Gives the call up; the endpoint learns it from the closed connection. Harmless when the call has ended. */
    public void cancel() {
        if (ended) {
            return;
        }
        end();
        HttpConnection used = connection;
        if (used == null) {
            body.release();
        } else {
            used.abort();
        }
    }

    /** Gives the call up because its time is over; unlike {@link #cancel}, this is told to who waits for the reply. */
    void expire() {
        cancelAndFail(new CallFailure(CallFailure.Kind.TIMED_OUT, "no answer in time"));
    }

    /** Gives the call up because the life of its endpoint that it was sent to is over: it may have run. */
    void failRestarted() {
        cancelAndFail(new CallFailure(CallFailure.Kind.CONNECTION_LOST, "the endpoint has started again"));
    }

    private void cancelAndFail(CallFailure failure) {
        if (!ended) {
            cancel();
            replies.failed(failure);
        }
    }

    /** Stops or goes on reading the reply. */
    public void setAutoRead(boolean wanted) {
        HttpConnection used = connection;
        if (used != null && !ended) {
            used.setAutoRead(wanted);
        }
    }

    private void end() {
        ended = true;
        onEnd.accept(this);
    }

    @Override
    public void head(HttpResponse head) {
        onHead.accept(head);
        replies.head(head);
    }

    @Override
    public void body(ByteBuf piece) {
        replies.body(piece);
    }

    @Override
    public void completed() {
        if (ended) {
            return;
        }
        HttpConnection used = connection;
        if (used != null) {
            used.setAutoRead(true);
        }
        end();
        replies.completed();
    }

    @Override
    public void failed(CallFailure failure) {
        if (ended) {
            return;
        }
        end();
        replies.failed(failure);
    }
}
