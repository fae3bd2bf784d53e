package org.quetzalseam.daemon.platform;

import com.google.common.flogger.FluentLogger;
import java.net.http.HttpResponse;
import java.util.Optional;
import org.quetzalseam.core.store.StorePosition;
import org.quetzalseam.daemon.platform.StoreException.Code;

/**
 * Tracks the era of the store's responses. The era starts at 0 and increases by one each time the store is restored from an older copy.
 * A store that sends no era header has a single era. Thread-safe.
 */
final class StoreEraTracker {
    static final String HEADER = "Store-Era";

    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private long newest = StorePosition.NO_ERA;
    private boolean stated;

    /** Returns the newest era that a response has stated. */
    synchronized long newest() {
        return newest;
    }

    /** Returns the era of a response that {@link #update} has accepted. */
    static long of(HttpResponse<?> answer) {
        return answer.headers().firstValue(HEADER).map(StoreEraTracker::parse).orElse(StorePosition.NO_ERA);
    }

    private static long parse(String header) {
        try {
            return Long.parseLong(header.strip());
        } catch (NumberFormatException e) {
            return -1;
        }
    }

    /**
     * Updates the newest era from a response.
     *
     * @param header value of the response's era header
     * @param success false for a server error, which may come from a proxy before the store and lack the header
     * @throws StoreException if the response cannot be used, because the state that it shows or wrote may no longer exist
     */
    synchronized void update(Optional<String> header, boolean success) {
        if (header.isEmpty()) {
            if (stated && success) {
                throw unusable("missing", "expected the header, as in earlier responses");
            }
            return;
        }
        long era = parse(header.get());
        if (era < newest || era > StorePosition.MAX_ERA) {
            throw unusable(header.get(), "expected a whole number from " + newest + " to " + StorePosition.MAX_ERA);
        }
        if (stated && era > newest) {
            logger.atWarning().log("event=store-era-risen before=%d era=%d", newest, era);
        }
        newest = era;
        stated = true;
    }

    private StoreException unusable(String header, String detail) {
        logger.atWarning().log("event=store-era-unusable era=%d header=\"%s\" detail=\"%s\"", newest, header, detail);
        return new StoreException(Code.UNAVAILABLE, "header " + HEADER + " is '" + header + "': " + detail, null);
    }
}
