package org.quetzalseam.daemon.http;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpHeaders;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import javax.net.ssl.SSLSession;

/**
 * A whole answer to a request.
 *
 * @param request the request
 * @param statusCode the answer's status
 * @param headers the answer's headers
 * @param body the answer's body
 * @param <T> type of the body
 */
record Answer<T>(HttpRequest request, int statusCode, HttpHeaders headers, T body) implements HttpResponse<T> {
    /** Returns the headers of a message. */
    static HttpHeaders headers(io.netty.handler.codec.http.HttpHeaders headers) {
        Map<String, List<String>> values = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        headers.names().forEach(name -> values.put(name, headers.getAll(name)));
        return HttpHeaders.of(values, (name, value) -> true);
    }

    @Override
    public Optional<HttpResponse<T>> previousResponse() {
        return Optional.empty();
    }

    @Override
    public Optional<SSLSession> sslSession() {
        return Optional.empty();
    }

    @Override
    public URI uri() {
        return request.uri();
    }

    @Override
    public HttpClient.Version version() {
        return HttpClient.Version.HTTP_1_1;
    }
}
