import { FleetProjector, type Fleet, type SessionState } from '../fleet/mod.js';

/** Emits the controller sessions whenever the set of sessions changes. */
export class SessionsProjector extends FleetProjector {
  readonly #emit: (sessions: SessionState[]) => void;

  #lastKey = '';

  constructor(emit: (sessions: SessionState[]) => void) {
    super();
    this.#emit = emit;
  }

  override project(fleet: Fleet): void {
    const sessions = fleet.data.listSessions('controller').map((session) => ({ ...session }));
    const key = sessions.map((state) => state.session).join();
    if (key === this.#lastKey) return;
    this.#lastKey = key;
    this.#emit(sessions);
  }
}
