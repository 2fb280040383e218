package laneflow;

import static com.tngtech.archunit.base.DescribedPredicate.alwaysTrue;
import static com.tngtech.archunit.base.DescribedPredicate.not;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAPackage;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.ArchRule;
import org.junit.jupiter.api.Test;

/** Checks in the compiled classes that packages depend on each other as docs/architecture.md describes. */
class ArchitectureTest {
    private static final JavaClasses CLASSES = new ClassFileImporter()
            .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
            .importPackages("laneflow");

    /** Dependencies between packages have no cycle, with one exception. */
    @Test
    void packagesFormNoCycle() {
        slices().matching("laneflow.(**)")
                .should()
                .beFreeOfCycles()
                // The decision code uses the description of a durable job, which is declared beside the store.
                .ignoreDependency(resideInAPackage("laneflow.durable.decision"), resideInAPackage("laneflow.durable"))
                .check(CLASSES);
    }

    @Test
    void onlyMainDependsOnTheCommandLine() {
        onlyDependedOnBy("laneflow.cli", "laneflow", "laneflow.cli").check(CLASSES);
    }

    @Test
    void onlyTheCommandLineDependsOnTheAssembly() {
        onlyDependedOnBy("laneflow.assembly", "laneflow", "laneflow.cli", "laneflow.assembly")
                .check(CLASSES);
    }

    /** The scheduler must not load the lab's classes: stand-ins, rig and measurements. */
    @Test
    void onlyTheCommandLineDependsOnTheLab() {
        onlyDependedOnBy("laneflow.lab..", "laneflow.cli", "laneflow.lab..").check(CLASSES);
    }

    /** Within the lab, stand-ins don't depend on the rig that starts them, and neither depends on measurements. */
    @Test
    void labDependenciesAreLayered() {
        noClasses()
                .that()
                .resideInAPackage("laneflow.lab.standin")
                .should()
                .dependOnClassesThat(
                        resideInAPackage("laneflow.lab..").and(not(resideInAPackage("laneflow.lab.standin"))))
                .check(CLASSES);
        onlyDependedOnBy("laneflow.lab.measure", "laneflow.lab", "laneflow.lab.measure")
                .check(CLASSES);
        onlyDependedOnBy("laneflow.lab", "laneflow.cli", "laneflow.lab").check(CLASSES);
    }

    @Test
    void violationsAreDetected() {
        assertThrows(
                AssertionError.class,
                () -> onlyDependedOnBy("laneflow.core", "laneflow.core").check(CLASSES));
        assertThrows(
                AssertionError.class,
                () -> noClasses().should().dependOnClassesThat(alwaysTrue()).check(CLASSES));
    }

    private static ArchRule onlyDependedOnBy(String packageName, String... allowedPackages) {
        return noClasses()
                .that()
                .resideOutsideOfPackages(allowedPackages)
                .should()
                .dependOnClassesThat()
                .resideInAPackage(packageName);
    }
}
