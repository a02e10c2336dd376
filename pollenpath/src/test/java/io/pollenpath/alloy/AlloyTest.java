package io.pollenpath.alloy;

import static com.google.common.truth.Truth.assertWithMessage;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import edu.mit.csail.sdg.alloy4.A4Reporter;
import edu.mit.csail.sdg.ast.Command;
import edu.mit.csail.sdg.parser.CompModule;
import edu.mit.csail.sdg.parser.CompUtil;
import edu.mit.csail.sdg.translator.A4Options;
import edu.mit.csail.sdg.translator.TranslateAlloyToKodkod;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import kodkod.engine.satlab.SATFactory;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;
import org.slf4j.LoggerFactory;

/**
 * Checks each specification: assertions hold within their scope, scenarios have an instance, and
 * each mutant has a counterexample, which shows that the assertions can fail.
 */
class AlloyTest {

    private static final Path SPECIFICATIONS = Path.of("src/test/alloy");
    private static final String MUTANT_PREFIX = "Mutant";

    @BeforeAll
    static void limitSolverLog() {
        ((Logger) LoggerFactory.getLogger("kodkod")).setLevel(Level.WARN);
    }

    @TestFactory
    Stream<DynamicTest> commands() throws Exception {
        try (Stream<Path> files = Files.list(SPECIFICATIONS)) {
            return files.sorted().toList().stream().flatMap(AlloyTest::commandsOf);
        }
    }

    private static Stream<DynamicTest> commandsOf(Path file) {
        CompModule module =
                CompUtil.parseEverything_fromFile(A4Reporter.NOP, null, file.toString());
        List<Command> commands = module.getAllCommands();
        return commands.stream()
                .map(
                        command ->
                                DynamicTest.dynamicTest(
                                        file.getFileName() + " " + command.label,
                                        () -> check(module, command)));
    }

    private static void check(CompModule module, Command command) throws Exception {
        A4Options options = new A4Options();
        options.solver = SATFactory.find("sat4j").orElseThrow();
        boolean found =
                TranslateAlloyToKodkod.execute_command(
                                A4Reporter.NOP, module.getAllReachableSigs(), command, options)
                        .satisfiable();
        boolean expected = !command.check || command.label.startsWith(MUTANT_PREFIX);
        assertWithMessage(command.label + (expected ? " finds a trace" : " finds no trace"))
                .that(found)
                .isEqualTo(expected);
    }
}
