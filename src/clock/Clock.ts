import { TimeReading } from './TimeReading.js';

/** Source of time. It is injected wherever time is read, so that tests can control it. */
export abstract class Clock {
  /** Wall-clock time in milliseconds since the Unix epoch; it may jump in either direction. */
  abstract readWall(): number;

  /** Monotonic time in milliseconds from an arbitrary origin; it never decreases. */
  abstract readMonotonic(): number;

  /** Both times. */
  read(): TimeReading {
    return new TimeReading(this.readMonotonic(), this.readWall());
  }
}
