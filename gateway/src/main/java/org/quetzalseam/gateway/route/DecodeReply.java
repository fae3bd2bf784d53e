package org.quetzalseam.gateway.route;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpResponse;
import org.jspecify.annotations.Nullable;
import org.quetzalseam.gateway.http.CallFailure;
import org.quetzalseam.gateway.http.ReplyListener;
import org.quetzalseam.gateway.protocol.Protocol;
import org.quetzalseam.gateway.protocol.ReplyFacts;

/** Receives a decode engine's reply: a stream of events, or a complete answer that is not a stream. */
final class DecodeReply implements ReplyListener {
    /** Longest answer in place of a stream, in bytes; a stream has no such limit, as it is not kept. */
    private static final int MAX_ANSWER_BYTES = 1024 * 1024;

    /** Receives the parsed reply. */
    interface Listener {
        /** Called when a stream begins. */
        void begun(HttpResponse head);

        /** Called with each piece of the stream; the listener releases it. */
        void piece(ByteBuf piece);

        /** Called when the engine has ended the stream regularly. */
        void streamEnded();

        /** Called with a complete answer that is not a stream; the listener releases the body. */
        void answered(HttpResponse head, ByteBuf body);

        /** Called when the reply ended prematurely. */
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
    public long maxBodyBytes() {
        return streaming ? Long.MAX_VALUE : MAX_ANSWER_BYTES;
    }

    @Override
    public void body(ByteBuf piece) {
        if (streaming) {
            listener.piece(piece);
            return;
        }
        bufferedBody.writeBytes(piece);
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
