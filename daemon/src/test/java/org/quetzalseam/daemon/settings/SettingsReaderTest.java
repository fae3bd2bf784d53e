package org.quetzalseam.daemon.settings;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.quetzalseam.core.ini.Problem;
import org.quetzalseam.wire.message.Role;

class SettingsReaderTest {
    private static final String VALID_ENTRY_SETTINGS =
            "[process]\nname = n\nzone = z\n[platform]\nurl = http://10.0.0.1:1\n";

    @ParameterizedTest
    @ValueSource(strings = {"landesamt", "kowhai"})
    void theExampleSettingsAreValid(String deployment) throws IOException {
        Path directory = Path.of("../examples", deployment, "settings");
        for (Role role : Role.values()) {
            String name = role == Role.ENTRY ? "entry.ini" : "endpoint.ini";
            String text = Files.readString(directory.resolve(name));
            assertThat(SettingsReader.read(role, name, text).problems()).isEmpty();
        }
    }

    @Test
    void everyProblemIsReportedWithItsLocationAndTheNearestKey() {
        String text = VALID_ENTRY_SETTINGS
                + "[listen]\nprot = 1\nport = x\n[timing]\nlease-ms = 500\n[polcy]\nqueue = fair\n";
        assertThat(SettingsReader.read(Role.ENTRY, "f", text).problems())
                .extracting(Problem::toString)
                .anySatisfy(problem -> assertThat(problem).contains("[listen] prot", "did you mean 'port'"))
                .anySatisfy(problem -> assertThat(problem).contains("[listen] port", "whole number"))
                .anySatisfy(problem -> assertThat(problem).contains("lease-ms", "at least twice"))
                .anySatisfy(problem -> assertThat(problem).contains("[polcy]", "did you mean 'policy'"));
    }

    @Test
    void limitsOnConnectionsAreChecked() {
        String text = VALID_ENTRY_SETTINGS + "[listen]\nconnections = 0\noperator-connections = many\n";
        assertThat(SettingsReader.read(Role.ENTRY, "f", text).problems())
                .extracting(Problem::toString)
                .anySatisfy(problem -> assertThat(problem).contains("[listen] connections", "from 1 to"))
                .anySatisfy(problem -> assertThat(problem).contains("[listen] operator-connections", "'many'"));
    }

    @Test
    void anEndpointNeedsABackend() {
        assertThat(SettingsReader.read(Role.ENDPOINT, "f", VALID_ENTRY_SETTINGS).problems())
                .extracting(Problem::location)
                .contains("[backend] kind", "[backend] url");
    }
}
