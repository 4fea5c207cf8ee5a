import { FleetProjector, type Fleet, type SessionState } from '../fleet/mod.js';

/** Emits the controller sessions whenever their set changes. */
export class SessionsProjector extends FleetProjector {
  readonly #emit: (sessions: SessionState[]) => void;

  #seen = '';

  constructor(emit: (sessions: SessionState[]) => void) {
    super();
    this.#emit = emit;
  }

  override project(fleet: Fleet): void {
    const sessions = fleet.data.listSessions('controller').map((one) => ({ ...one }));
    const key = sessions.map((one) => one.session).join();
    if (key === this.#seen) return;
    this.#seen = key;
    this.#emit(sessions);
  }
}
