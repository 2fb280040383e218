package laneflow.policy.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** A snapshot of a lease agrees with the lease itself at every instant. */
class LeaseSnapshotTest {
    @Test
    void agreesWithTheLeaseAtEveryInstant() {
        SplittableRandom random = new SplittableRandom(11);
        int deciding = 0;
        int changes = 0;
        for (int run = 0; run < 300; run++) {
            Lease lease = new Lease();
            long now = 1_000_000;
            long number = 0;
            for (int seq = 1; seq <= 30; seq++) {
                number += random.nextInt(4) == 0 ? 1 : 0;
                long until = random.nextInt(6) == 0 ? 0 : now + random.nextLong(3000);
                long from = random.nextBoolean() ? 0 : now + random.nextLong(600);
                lease.accept(new Grant(1, seq, now, number, from, until, 0), now - random.nextLong(200), now);
                LeaseSnapshot snapshot = lease.snapshot();
                long previous = lease.current();
                for (long instant = now; instant < now + 1000; instant += 1 + random.nextLong(90)) {
                    assertEquals(lease.policyAt(instant), snapshot.policyAt(instant), "run " + run + " seq " + seq);
                    assertEquals(lease.fence(), snapshot.fence(instant));
                    deciding += snapshot.policyAt(instant) >= 0 ? 1 : 0;
                }
                changes += lease.current() > previous ? 1 : 0;
                now += 1000;
            }
        }
        assertTrue(deciding > 10_000 && changes > 300, deciding + " " + changes);
    }
}
