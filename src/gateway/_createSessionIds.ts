import { randomUUID } from 'node:crypto';

/**
 * Creates a generator of session ids for a process. The first id is the process name; each
 * replacement of an ended session gets the name with a counter appended.
 */
export function createSessionIds(process: string = randomUUID()): () => string {
  let count = 0;
  return () => {
    count += 1;
    return count === 1 ? process : `${process}.${count}`;
  };
}
