/**
 * A tenant sends many times its usual while the machine that owns its limit is cut off from all other machines of the
 * system. Counts the tenant's requests that engines run, in every span of `quota-window-s`.
 *
 * Exit codes: 1 the rule was broken, 0 it held, 2 the case couldn't run. With TROUBLE=0 nothing is cut.
 */
import {writeFileSync} from 'node:fs';
import path from 'node:path';
import {fileURLToPath, pathToFileURL} from 'node:url';

import {delay, Fleet, ROOT} from '../lib-2/quota/fleet.mjs';
import {Links} from '../lib-2/quota/links.mjs';
import {makeRecord, Tenant} from '../lib-2/quota/tenant.mjs';

const FOLDER = path.dirname(fileURLToPath(import.meta.url));
const hasTrouble = process.env.TROUBLE !== '0';
/** Traffic starts 12 s after the machines do. */
const LEAD_MS = 12_000;
const HOT_AT_MS = 6000;
/** `node_cut` for 5.5 s. */
const CUT_AT_MS = 6500;
const CUT_MS = 5500;
const END_MS = 20_000;

const {note, sinceStartMs, text} = makeRecord();
const fleet = new Fleet();

/** A tenant whose limit is owned by a machine without a disk, and that machine. */
async function chooseTenant() {
  const {limitOwnerCandidates, limitOwners} = await import(
    pathToFileURL(path.join(ROOT, 'dist/review-2/limits.mjs'))
  );
  const candidates = limitOwnerCandidates(fleet.fronts.map(({ip}) => ip));
  for (let at = 0; at < 1000; at++) {
    const name = `kaje${at}`;
    const [ip] = limitOwners(name, candidates);
    const owner = fleet.fronts.find((front) => front.ip === ip);
    if (
      !owner.hasDisk ||
      candidates.every((one) => fleet.fronts.find((f) => f.ip === one).hasDisk)
    ) {
      return {name, owner};
    }
  }
  throw new Error('no tenant found');
}

let links;
let tenant;

async function cutOff(owner) {
  await delay(CUT_AT_MS);
  if (hasTrouble) {
    const connections = links.cut();
    note(`${owner.name} is cut off from all other machines (${connections} connections)`);
    await delay(CUT_MS);
    links.heal();
    note('the cut heals');
  }
}

async function main() {
  const {name, owner} = await chooseTenant();
  tenant = new Tenant({burst: 20, fleet, name, note, rate: 60});
  links = new Links(fleet, owner);
  await links.open();
  fleet.startAll();
  await tenant.prepare();
  await delay(Math.max(2000, LEAD_MS - sinceStartMs()));
  const startedAt = Date.now();
  note(`traffic starts; ${owner.name} owns the limit of ${name}`);
  await Promise.all([tenant.send({forMs: END_MS, hotAtMs: HOT_AT_MS}), cutOff(owner)]);
  const isBroken = tenant.isOverQuota(startedAt);
  note(isBroken ? 'QUOTA is broken' : 'QUOTA held');
  return isBroken ? 1 : 0;
}

let code = 2;
try {
  code = await main();
} catch (err) {
  note(`the case could not run: ${err.stack}`);
} finally {
  tenant?.stop();
  fleet.end();
  links?.close();
  writeFileSync(path.join(FOLDER, 'record.txt'), text());
}
process.exit(code);
