package org.quetzalseam.daemon;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.quetzalseam.daemon.DaemonException.Code;
import org.quetzalseam.daemon.settings.Settings.Security;
import org.quetzalseam.wire.connection.SiteKey;
import org.quetzalseam.wire.connection.Transport;

/** Creates the site key and the transport, by which processes authenticate each other, from their settings. Stateless. */
public final class ProcessSecurity {
    private ProcessSecurity() {}

    /** Returns the site's key, or the key for loopback when the settings name no file. */
    public static SiteKey siteKey(Security security) {
        Path file = security.siteKeyFile();
        return file == null ? SiteKey.loopback() : SiteKey.read(file);
    }

    /** Returns TLS when the settings name a key store and its password file, else plain TCP. */
    public static Transport transport(Security security) {
        Path keyStore = security.keyStoreFile();
        Path password = security.keyStorePasswordFile();
        if (keyStore == null || password == null) {
            return Transport.plain();
        }
        try {
            return Transport.tls(keyStore, Files.readString(password).strip());
        } catch (IOException e) {
            throw new DaemonException(Code.BAD_SETTINGS, "password file " + password + " can't be read", e);
        }
    }
}
