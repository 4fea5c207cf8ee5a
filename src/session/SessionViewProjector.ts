import { FleetProjector, type Fleet } from '../fleet/mod.js';
import { createSessionView, type SessionView } from './SessionView.js';

/** Passes the session view of a gateway to a listener after each change of the fleet. */
export class SessionViewProjector extends FleetProjector {
  readonly #dataCentre: string;

  readonly #listener: (view: SessionView) => void;

  #session = '';

  constructor(dataCentre: string, listener: (view: SessionView) => void) {
    super();
    this.#dataCentre = dataCentre;
    this.#listener = listener;
  }

  /** Sets the session whose view is passed on from now on. */
  setSession(session: string): void {
    this.#session = session;
  }

  override project(fleet: Fleet): void {
    this.#listener(
      createSessionView(fleet, { dataCentre: this.#dataCentre, session: this.#session }),
    );
  }
}
