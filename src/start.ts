/**
 * Starts the program from the code that the build compiled beforehand. Without a fitting cache,
 * such as under another release of Node.js, the program is compiled as usual.
 */
import {readFileSync} from 'node:fs';
import {createRequire} from 'node:module';
import path from 'node:path';
import process from 'node:process';
import {Script} from 'node:vm';

/** Exports, require, module, file name and directory, as a CommonJS module gets them. */
type ModuleScope = readonly [unknown, NodeJS.Require, unknown, string, string];

const directory = path.dirname(process.argv[1]!);
const filename = path.join(directory, 'program.cjs');
const source = `(function (exports, require, module, __filename, __dirname) {${readFileSync(filename, 'utf8')}\n})`;
const script = new Script(source, {
	filename: 'target/program.cjs',
	cachedData: readFileSync(path.join(directory, 'program.cache')),
});
const module = {exports: {}};
// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- The source is ours.
const run = script.runInThisContext() as (...scope: ModuleScope) => void;
run(module.exports, createRequire(filename), module, filename, directory);
