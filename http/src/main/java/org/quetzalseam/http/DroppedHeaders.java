package org.quetzalseam.http;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;

/** Headers that are never kept. */
final class DroppedHeaders extends DefaultHttpHeaders {
    static final HttpHeadersFactory FACTORY = new HttpHeadersFactory() {
        @Override
        public HttpHeaders newHeaders() {
            return new DroppedHeaders();
        }

        @Override
        public HttpHeaders newEmptyHeaders() {
            return new DroppedHeaders();
        }
    };

    @Override
    public HttpHeaders add(String name, Object value) {
        return this;
    }

    @Override
    public HttpHeaders add(CharSequence name, Object value) {
        return this;
    }

    @Override
    public HttpHeaders add(String name, Iterable<?> values) {
        return this;
    }

    @Override
    public HttpHeaders add(CharSequence name, Iterable<?> values) {
        return this;
    }
}
