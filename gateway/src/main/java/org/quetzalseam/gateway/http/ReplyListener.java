package org.quetzalseam.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** Takes the parts of one reply, in order, on the event loop. After {@code completed} or {@code failed} nothing follows. */
public interface ReplyListener {
    /** Takes the status and the headers. */
    void head(HttpResponse head);

    /** Takes a piece of the body. The listener owns the buffer and releases it. */
    void body(ByteBuf piece);

    /** The reply is whole. */
    void completed();

    /** The reply is not whole and never will be. */
    void failed(CallFailure failure);
}
