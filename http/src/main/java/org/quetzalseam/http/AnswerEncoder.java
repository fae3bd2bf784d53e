package org.quetzalseam.http;

import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;

/** Encodes the answers to the requests that a decoder has decoded. Used on the connection's event loop only. */
public final class AnswerEncoder extends HttpResponseEncoder {
    private final RequestDecoder requests;

    /** Creates an encoder for the connection of a decoder. */
    public AnswerEncoder(RequestDecoder requests) {
        this.requests = requests;
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpResponse answer) {
        return requests.method().equals(HttpMethod.HEAD) || super.isContentAlwaysEmpty(answer);
    }
}
