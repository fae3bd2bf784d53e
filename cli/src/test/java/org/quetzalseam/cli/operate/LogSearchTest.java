package org.quetzalseam.cli.operate;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class LogSearchTest {
    @Test
    void theLinesOfOneRequestAreFoundInAllFilesAndPutInOrder(@TempDir Path folder) throws IOException {
        Path one = folder.resolve("one.log");
        Path two = folder.resolve("two.log");
        Files.writeString(
                one,
                "time=2026-01-01T00:00:03Z event=b request=r1 x=1\ntime=2026-01-01T00:00:01Z event=c request=r11\n");
        Files.writeString(two, "time=2026-01-01T00:00:02Z event=a request=r1\n");
        assertThat(LogSearch.lines(List.of(one, two), "r1"))
                .containsExactly(
                        "time=2026-01-01T00:00:02Z event=a request=r1",
                        "time=2026-01-01T00:00:03Z event=b request=r1 x=1");
        assertThat(LogSearch.lines(List.of(one, two), "r2")).isEmpty();
    }
}
