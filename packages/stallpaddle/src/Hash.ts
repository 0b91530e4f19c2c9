/**
 * Stable, non-cryptographic hashing for placement.
 */

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/**
 * 32-bit FNV-1a with a final mix. The result must stay the same on every VM and in every release.
 *
 * @param text input
 * @returns unsigned 32-bit integer
 */
export function hash32(text: string): number {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}

/**
 * Orders nodes by rendezvous weight for a key: when a node is removed, only its keys move.
 *
 * @param key key to place
 * @param nodes candidates
 * @returns the nodes, highest weight first
 */
export function rendezvousOrder(key: string, nodes: readonly string[]): readonly string[] {
  return nodes
    .map((node) => ({node, weight: hash32(`${key}\u0000${node}`)}))
    .sort((a, b) => b.weight - a.weight || (a.node < b.node ? -1 : 1))
    .map(({node}) => node);
}

/**
 * Returns the node with the highest rendezvous weight for a key.
 *
 * @param key key to place
 * @param nodes candidates
 */
export function rendezvousOwner(key: string, nodes: readonly string[]): string | undefined {
  let best: string | undefined;
  let bestWeight = -1;
  for (const node of nodes) {
    const weight = hash32(`${key}\u0000${node}`);
    if (weight > bestWeight || (weight === bestWeight && node < (best ?? node))) {
      best = node;
      bestWeight = weight;
    }
  }
  return best;
}
