package org.quetzalseam.gateway.route;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpResponse;
import org.jspecify.annotations.Nullable;
import org.quetzalseam.gateway.http.CallFailure;
import org.quetzalseam.gateway.http.ReplyListener;
import org.quetzalseam.gateway.protocol.Protocol;
import org.quetzalseam.gateway.protocol.ReplyFacts;

/** Takes a decode engine's reply: a stream of events, or a whole answer that isn't one. */
final class DecodeReply implements ReplyListener {
    private static final int MAX_ANSWER_BYTES = 1024 * 1024;

    /** What the reply turns out to be. */
    interface Listener {
        /** A stream begins. */
        void begun(HttpResponse head);

        /** A piece of the stream; the taker releases it. */
        void piece(ByteBuf piece);

        /** The stream has ended as its engine meant it to. */
        void streamEnded();

        /** A whole answer that is no stream; the taker releases the body. */
        void answered(HttpResponse head, ByteBuf body);

        /** The reply ended before its time. */
        void failed(CallFailure failure);
    }

    private final Protocol protocol;
    private final Listener listener;
    private final ByteBuf bufferedBody = Unpooled.buffer();
    private @Nullable HttpResponse head;
    private boolean streaming;

    DecodeReply(Protocol protocol, Listener listener) {
        this.protocol = protocol;
        this.listener = listener;
    }

    @Override
    public void head(HttpResponse response) {
        head = response;
        ReplyFacts facts = protocol.facts(response);
        streaming = response.status().code() == 200 && facts.signed() && !facts.notRun();
        if (streaming) {
            listener.begun(response);
        }
    }

    @Override
    public void body(ByteBuf piece) {
        if (streaming) {
            listener.piece(piece);
            return;
        }
        if (bufferedBody.readableBytes() + piece.readableBytes() <= MAX_ANSWER_BYTES) {
            bufferedBody.writeBytes(piece);
        }
        piece.release();
    }

    @Override
    public void completed() {
        HttpResponse response = head;
        if (response == null) {
            return;
        }
        if (streaming) {
            listener.streamEnded();
        } else {
            listener.answered(response, bufferedBody);
        }
    }

    @Override
    public void failed(CallFailure failure) {
        listener.failed(failure);
    }
}
