package io.pollenpath.state.group;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import org.junit.jupiter.api.Test;

class ExpertMapChangesTest {

    private static final ExpertMap BASE =
            new ExpertMap(
                    List.of(
                            List.of(List.of(0, 1), List.of(2), List.of(3)),
                            List.of(List.of(3), List.of(0, 2), List.of(1))));
    private static final ExpertMap TARGET =
            new ExpertMap(
                    List.of(
                            List.of(List.of(0, 1), List.of(2, 3), List.of(3)),
                            List.of(List.of(3), List.of(0, 2), List.of(1))));

    @Test
    void appliedToTheBaseTheyGiveTheTarget() {
        assertThat(ExpertMapChanges.between(BASE, TARGET).applyTo(BASE)).isEqualTo(TARGET);
    }

    @Test
    void theyNameOnlyRanksThatDiffer() {
        assertThat(ExpertMapChanges.between(BASE, TARGET).layers())
                .containsExactly(
                        List.of(new ExpertMapChanges.RankExperts(1, List.of(2, 3))), List.of())
                .inOrder();
    }

    @Test
    void mapsOfDifferentSizesHaveNoChanges() {
        ExpertMap smaller = new ExpertMap(List.of(List.of(List.of(0), List.of(1))));
        assertThrows(IllegalArgumentException.class, () -> ExpertMapChanges.between(BASE, smaller));
        assertThrows(
                IllegalArgumentException.class,
                () -> ExpertMapChanges.between(BASE, TARGET).applyTo(smaller));
    }

    @Test
    void differentMapsHaveDifferentChecksums() {
        assertThat(BASE.checksum()).isNotEqualTo(TARGET.checksum());
        assertThat(ExpertMapChanges.between(BASE, TARGET).applyTo(BASE).checksum())
                .isEqualTo(TARGET.checksum());
    }
}
