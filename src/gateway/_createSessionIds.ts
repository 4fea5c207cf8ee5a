import { randomUUID } from 'node:crypto';

/**
 * Creates the ids of the sessions of one process: its name, and with a count for each session that
 * takes the place of one that was ended.
 */
export function createSessionIds(process: string = randomUUID()): () => string {
  let count = 0;
  return () => {
    count += 1;
    return count === 1 ? process : `${process}.${count}`;
  };
}
