package org.quetzalseam.daemon.http;

import java.io.IOException;

/** Thrown when a body can't be read because the requests in progress use the memory that there is for them. */
public final class NoMemoryException extends IOException {
    NoMemoryException(String message) {
        super(message);
    }
}
