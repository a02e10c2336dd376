package io.pollenpath;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.Architectures.layeredArchitecture;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.library.Architectures.LayeredArchitecture;
import org.junit.jupiter.api.Test;

/** Checks the dependencies between the packages. */
class LayersTest {

    private static final JavaClasses CLASSES =
            new ClassFileImporter()
                    .withImportOption(new ImportOption.DoNotIncludeTests())
                    .importPackages("io.pollenpath");

    private static LayeredArchitecture layers() {
        LayeredArchitecture layers = layeredArchitecture().consideringOnlyDependenciesInLayers();
        for (String name :
                new String[] {
                    "platform", "cli", "transport", "protocol", "coordination", "state", "util"
                }) {
            layers = layers.layer(name).definedBy("io.pollenpath." + name + "..");
        }
        return layers;
    }

    @Test
    void layersDependOnlyOnLowerLayers() {
        layers().whereLayer("platform")
                .mayNotBeAccessedByAnyLayer()
                .whereLayer("cli")
                .mayOnlyBeAccessedByLayers("platform")
                .whereLayer("transport")
                .mayOnlyBeAccessedByLayers("platform", "cli")
                .whereLayer("protocol")
                .mayOnlyBeAccessedByLayers("platform", "cli", "transport")
                .whereLayer("coordination")
                .mayOnlyBeAccessedByLayers("platform", "cli", "transport", "protocol")
                .whereLayer("state")
                .mayOnlyBeAccessedByLayers(
                        "platform", "cli", "transport", "protocol", "coordination")
                .whereLayer("util")
                .mayOnlyBeAccessedByLayers(
                        "platform", "cli", "transport", "protocol", "coordination", "state")
                .check(CLASSES);
    }

    @Test
    void coordinationAndStateReadNoClock() {
        noClasses()
                .that()
                .resideInAnyPackage("io.pollenpath.coordination..", "io.pollenpath.state..")
                .should()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .check(CLASSES);
    }
}
