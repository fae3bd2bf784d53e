package org.quetzalseam.gateway.route;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;

/** Tells how an answer ends. Stateless. */
final class ReplyFraming {
    private ReplyFraming() {}

    /** Returns whether an answer states where it ends, by its length or by chunks, and does not end with its connection. */
    static boolean statesItsEnd(HttpResponse head) {
        return HttpUtil.isContentLengthSet(head) || HttpUtil.isTransferEncodingChunked(head);
    }
}
