// Sends SIGHUP to this process when it reads its settings, which is before it watches them.
const fs = require('node:fs');
const process = require('node:process');

const {readFileSync} = fs;
fs.readFileSync = (file, ...rest) => {
	if (String(file).endsWith('.yaml')) {
		process.kill(process.pid, 'SIGHUP');
	}

	return readFileSync(file, ...rest);
};
