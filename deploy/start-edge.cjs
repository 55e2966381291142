'use strict';

// Runs the bundle with the compiled code that the build keeps beside it, because a process that starts again after a
// failure serves nobody while it compiles. V8 ignores a cache that does not fit it.
const fs = require('node:fs');
const {createRequire} = require('node:module');
const path = require('node:path');
const process = require('node:process');
const vm = require('node:vm');

const filename = path.resolve(__dirname, '../target/tanagerrail.cjs');
const wrapped = `(function (require, module, exports, __filename, __dirname) {${fs.readFileSync(filename, 'utf8').replace(/^#!.*/, '')}\n})`;
const cacheFile = `${filename}.cache`;
const script = new vm.Script(wrapped, {filename, ...(fs.existsSync(cacheFile) && {cachedData: fs.readFileSync(cacheFile)})});
const module_ = {exports: {}};
script.runInThisContext()(createRequire(filename), module_, module_.exports, filename, path.dirname(filename));

if (process.env.TANAGERRAIL_WRITE_CACHE) {
	// Functions that have run are part of the cache.
	fs.writeFileSync(cacheFile, script.createCachedData());
}
