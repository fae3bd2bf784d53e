package org.quetzalseam.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Receives the parts of one reply, in order, on the event loop. No call follows {@code completed} or {@code failed}.
 */
public interface ReplyListener {
    /** Receives the status and the headers. */
    void head(HttpResponse head);

    /**
     * Returns the longest body that is accepted, in bytes. A longer one is not kept: the connection is closed and the reply fails.
     * Asked after the head.
     */
    default long maxBodyBytes() {
        return Long.MAX_VALUE;
    }

    /** Receives a part of the body. The listener owns the buffer and releases it. */
    void body(ByteBuf part);

    /** Called when the reply is complete. */
    void completed();

    /** Called when the reply is not complete and will not be completed. */
    void failed(CallFailure failure);
}
