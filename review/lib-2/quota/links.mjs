/**
 * Proxies in front of the ports on which processes reach each other; they can cut one machine off from all others. That machine
 * reaches its peers at a port of its own, so that its connections can be told from those of the others.
 */
import {connect, createServer} from 'node:net';

import {PORTS} from './fleet.mjs';

/** Port on which each process listens itself. */
const LISTEN_PORT = PORTS.peer + 1;
/** Port at which the machine that may be cut off reaches the others. */
const OWN_PORT = PORTS.peer + 2;

export class Links {
  /**
   * @param fleet the fleet, not started yet
   * @param machine the machine that may be cut off
   */
  constructor(fleet, machine) {
    this.fleet = fleet;
    this.isCut = false;
    this.machine = machine;
    this.pairs = new Set();
    this.servers = [];
    fleet.machines.forEach((one) => {
      const port = one === machine ? {peerPort: OWN_PORT} : {};
      one.extraSettings = {...port, peerListenPort: LISTEN_PORT};
    });
  }

  async open() {
    for (const machine of this.fleet.machines) {
      for (const port of [PORTS.peer, OWN_PORT]) {
        // Connections from the machine or to it.
        const isOwn = port === OWN_PORT || machine === this.machine;
        const server = createServer((client) => this.accept(client, machine.ip, isOwn));
        await new Promise((resolve, reject) => {
          server.once('error', reject);
          server.listen(port, machine.ip, resolve);
        });
        this.servers.push(server);
      }
    }
  }

  accept(client, ip, isOwn) {
    const server = connect(LISTEN_PORT, ip);
    const pair = {client, isOwn, server};
    this.pairs.add(pair);
    this.forward(pair, client, server);
    this.forward(pair, server, client);
  }

  forward(pair, from, to) {
    const isHeldUp = () => this.isCut && pair.isOwn;
    from.setNoDelay(true);
    from.on('error', () => {});
    from.on('data', (bytes) => {
      if (isHeldUp()) {
        // A partition holds these bytes up; they are lost, and the connection is reset when the cut heals.
        pair.hasLost = true;
      } else if (!to.write(bytes)) {
        from.pause();
        to.once('drain', () => from.resume());
      }
    });
    from.on('close', (hadError) => {
      if (isHeldUp()) {
        pair.hasLost = true;
        return;
      }
      this.pairs.delete(pair);
      if (hadError) {
        to.resetAndDestroy();
      } else {
        to.destroySoon();
      }
    });
  }

  /** Cuts the machine off from all other machines of the system, silently; clients and engines still reach it. */
  cut() {
    this.isCut = true;
    return [...this.pairs].filter(({isOwn}) => isOwn).length;
  }

  /** Heals the cut. Connections that lost bytes are reset. */
  heal() {
    this.isCut = false;
    for (const pair of this.pairs) {
      if (pair.hasLost) {
        pair.client.resetAndDestroy();
        pair.server.resetAndDestroy();
        this.pairs.delete(pair);
      }
    }
  }

  close() {
    this.servers.forEach((server) => server.close());
    this.pairs.forEach(({client, server}) => {
      client.destroy();
      server.destroy();
    });
  }
}
