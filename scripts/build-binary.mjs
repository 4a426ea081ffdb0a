/**
 * Builds the single executable application `dist/foxtailtide`: a copy of the Node.js binary that
 * runs this script, with the bundle injected as a blob.
 */
import {execFileSync} from 'node:child_process';
import {chmodSync, copyFileSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {inject} from 'postject';

// Both values come from the Node.js documentation of single executable applications.
const resourceName = 'NODE_SEA_BLOB';
const sentinelFuse = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';
const executableMode = 0o755;

const directory = path.resolve(import.meta.dirname, '../dist');
const bundle = path.join(directory, 'foxtailtide.cjs');
const blob = path.join(directory, 'foxtailtide.blob');
const configuration = path.join(directory, 'foxtailtide-sea.json');
const executable = path.join(directory, 'foxtailtide');

writeFileSync(
	configuration,
	JSON.stringify({main: bundle, output: blob, disableExperimentalSEAWarning: true}),
);
execFileSync(process.execPath, ['--experimental-sea-config', configuration]);
rmSync(executable, {force: true});
copyFileSync(process.execPath, executable);
chmodSync(executable, executableMode);
await inject(executable, resourceName, readFileSync(blob), {sentinelFuse});
rmSync(blob);
rmSync(configuration);
