/** Source of time, given to everything that needs it so that tests can set the time. */
export abstract class Clock {
  /** Wall-clock time in milliseconds since the Unix epoch; it may jump. */
  abstract readWall(): number;

  /** Monotonic time in milliseconds from an arbitrary origin; it never goes back. */
  abstract readMonotonic(): number;
}
