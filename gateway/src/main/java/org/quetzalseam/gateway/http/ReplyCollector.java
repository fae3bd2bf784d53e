package org.quetzalseam.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/** Collects a reply that is small, and hands it on when it is whole. */
public final class ReplyCollector implements ReplyListener {
    private final int maxBytes;
    private final BiConsumer<HttpResponse, ByteBuf> onComplete;
    private final Consumer<CallFailure> onFailure;
    private final ByteBuf collected = Unpooled.buffer();
    private @Nullable HttpResponse head;
    private boolean ended;

    /**
     * Creates a collector.
     *
     * @param maxBytes the longest body taken
     * @param onComplete takes head and body; it owns the body
     * @param onFailure takes the reason why there is no whole reply
     */
    public ReplyCollector(int maxBytes, BiConsumer<HttpResponse, ByteBuf> onWhole, Consumer<CallFailure> onFailure) {
        this.maxBytes = maxBytes;
        this.onComplete = onWhole;
        this.onFailure = onFailure;
    }

    /** Returns the body as text. */
    public static String text(ByteBuf body) {
        return body.toString(StandardCharsets.UTF_8);
    }

    @Override
    public void head(HttpResponse response) {
        head = response;
    }

    @Override
    public void body(ByteBuf piece) {
        if (!ended && collected.readableBytes() + piece.readableBytes() > maxBytes) {
            piece.release();
            failed(new CallFailure(CallFailure.Kind.MALFORMED, "the body is longer than " + maxBytes + " bytes"));
            return;
        }
        collected.writeBytes(piece);
        piece.release();
    }

    @Override
    public void completed() {
        HttpResponse whole = head;
        if (ended || whole == null) {
            return;
        }
        ended = true;
        onComplete.accept(whole, collected);
    }

    @Override
    public void failed(CallFailure failure) {
        if (!ended) {
            ended = true;
            onFailure.accept(failure);
        }
    }
}
