package org.quetzalseam.spec;

import static org.assertj.core.api.Assertions.assertThat;

import edu.mit.csail.sdg.alloy4.A4Reporter;
import edu.mit.csail.sdg.ast.Command;
import edu.mit.csail.sdg.parser.CompModule;
import edu.mit.csail.sdg.parser.CompUtil;
import edu.mit.csail.sdg.translator.A4Options;
import edu.mit.csail.sdg.translator.A4Solution;
import edu.mit.csail.sdg.translator.TranslateAlloyToKodkod;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import kodkod.engine.satlab.SATFactory;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;
import org.junit.jupiter.api.io.TempDir;

class ProtocolModelTest {
    private static final Path MODELS = Path.of("src/main/alloy");
    private static final String GUARD = "//@guard ";

    @TempDir
    private static Path scratch = Path.of("");

    private static List<Path> models() throws IOException {
        try (Stream<Path> files = Files.list(MODELS)) {
            return files.sorted().toList();
        }
    }

    private static boolean satisfiable(CompModule model, Command command) {
        A4Options options = new A4Options();
        options.solver = SATFactory.find("sat4j").orElseThrow();
        A4Solution solution =
                TranslateAlloyToKodkod.execute_command(A4Reporter.NOP, model.getAllReachableSigs(), command, options);
        return solution.satisfiable();
    }

    private static CompModule parse(Path file) {
        return CompUtil.parseEverything_fromFile(A4Reporter.NOP, null, file.toString());
    }

    @TestFactory
    List<DynamicTest> everyPropertyHoldsAndEveryExampleExists() throws IOException {
        List<DynamicTest> tests = new ArrayList<>();
        for (Path file : models()) {
            CompModule model = parse(file);
            for (Command command : model.getAllCommands()) {
                String name = file.getFileName() + " " + command.label;
                tests.add(DynamicTest.dynamicTest(
                        name, () -> assertThat(satisfiable(model, command)).isEqualTo(!command.check)));
            }
        }
        assertThat(tests).isNotEmpty();
        return tests;
    }

    @TestFactory
    List<DynamicTest> withoutAnyOneOfItsGuardsAProtocolViolatesAProperty() throws IOException {
        List<DynamicTest> tests = new ArrayList<>();
        for (Path file : models()) {
            List<String> lines = Files.readAllLines(file);
            for (int i = 0; i < lines.size(); i++) {
                int at = lines.get(i).indexOf(GUARD);
                if (at >= 0) {
                    int line = i;
                    String name =
                            file.getFileName() + " without: " + lines.get(i).substring(at + GUARD.length());
                    tests.add(DynamicTest.dynamicTest(name, () -> assertBroken(file, lines, line)));
                }
            }
        }
        assertThat(tests).isNotEmpty();
        return tests;
    }

    private static void assertBroken(Path file, List<String> lines, int removed) throws IOException {
        List<String> mutant = new ArrayList<>(lines);
        mutant.set(removed, "");
        Path copy = scratch.resolve("mutant-" + removed + "-" + file.getFileName());
        Files.write(copy, mutant);
        CompModule model = parse(copy);
        boolean broken = model.getAllCommands().stream()
                .filter(command -> command.check)
                .anyMatch(command -> satisfiable(model, command));
        assertThat(broken).as("a counterexample").isTrue();
    }
}
