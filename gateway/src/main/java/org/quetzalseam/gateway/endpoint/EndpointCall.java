package org.quetzalseam.gateway.endpoint;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.quetzalseam.gateway.http.CallFailure;
import org.quetzalseam.gateway.http.HttpConnection;
import org.quetzalseam.gateway.http.ReplyListener;

/** A call to an endpoint, from waiting for a connection to the end of the reply. Used on the event loop only. */
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

    /** Sends the request over a connection. Returns false, leaving the connection unused, if the call has been cancelled. */
    boolean begin(HttpConnection opened) {
        if (ended) {
            return false;
        }
        connection = opened;
        opened.exchange(request, body, id, this);
        return true;
    }

    /** Fails the call, which has not been sent. Does nothing if the call has ended. */
    void failUnsent(CallFailure failure) {
        if (!ended) {
            body.release();
            failed(failure);
        }
    }

    /** Returns whether the request has been given to a connection. */
    public boolean sent() {
        return connection != null;
    }

    /** Returns the connection that carries the call, or null if it has not been sent. */
    @Nullable
    HttpConnection connection() {
        return connection;
    }

    /** Returns when the call's connection was opened, in monotonic nanoseconds; 0 if the call has not been sent. */
    long connectedAt() {
        HttpConnection used = connection;
        return used == null ? 0 : used.openedAt();
    }

    /** Returns whether the call is waiting for its reply or receiving it. */
    public boolean active() {
        return !ended;
    }

    /** Cancels the call and closes its connection, which informs the endpoint. Does nothing if the call has ended. */
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

    /** Cancels the call because its time limit has passed. Unlike {@link #cancel}, this notifies the reply listener. */
    void expire() {
        cancelAndFail(new CallFailure(CallFailure.Kind.TIMED_OUT, "no answer in time"));
    }

    /** Cancels the call and notifies the reply listener because the endpoint has restarted; the request may have run. */
    void failRestarted() {
        cancelAndFail(new CallFailure(CallFailure.Kind.CONNECTION_LOST, "the endpoint has restarted"));
    }

    private void cancelAndFail(CallFailure failure) {
        if (!ended) {
            cancel();
            replies.failed(failure);
        }
    }

    /** Pauses or resumes reading of the reply. */
    public void setAutoRead(boolean autoRead) {
        HttpConnection used = connection;
        if (used != null && !ended) {
            used.setAutoRead(autoRead);
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
    public long maxBodyBytes() {
        return replies.maxBodyBytes();
    }

    @Override
    public void body(ByteBuf part) {
        replies.body(part);
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
