import { BoundObserver } from './BoundObserver.js';

/** Observer of a server whose bounds are neither logged nor measured. */
export class SilentObserver extends BoundObserver {
  override report(): void {
    // Nothing is recorded.
  }

  override countTimeout(): void {
    // Nothing is recorded.
  }

  override show(): void {
    // Nothing is recorded.
  }
}
